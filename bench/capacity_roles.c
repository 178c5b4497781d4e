/* What each role spends at the letter's size, from the slopes. */
#include "bench/capacity.h"

#include <stdio.h>

/* The letter's size. */
#define ENTRIES 1700.0
#define WORKERS 10000.0
#define REGIONS 9.0
#define MODELS 270.0
#define REQUESTS_PER_S 43000.0
#define TOKENS_PER_S 17e6
#define CHANGES_PER_DAY 9000.0
#define REPLACED_PER_DAY 990.0 /* failed, restarted or replaced */
#define DAY_S 86400.0

/* Limits for control, for each node. */
#define CORE_LIMIT 3.4 /* percent */
#define MEMORY_LIMIT 32.0 /* MB */
#define BYTES_LIMIT 8000.0 /* a second */

/* What we chose, and the options as shipped. */
#define SUBSET 64.0 /* agents with a session at one entry */
#define REPORTS_PER_S 2.0
#define ITEMS 4.0 /* models and adapters that a report names */
#define REQUEST_S 30.0 /* a request is alive for so long */
#define PLAN_EVERY_S 2.0
#define CALLS_PER_S 2000.0 /* never-repeat calls of all services */
#define OWNERS 23.0
#define KEYS_OWNER 200000.0 /* keys_max */
#define RECORDS (WORKERS + MODELS + 100 + 1000) /* adapters, callers */
#define TABLE_WRITES 300.0 /* "several hundred" */
#define TABLE_READS 2000.0
#define LINK_BYTES (30e6 / 8)
#define ANSWER_BYTES 100.0
#define POLL_READS 2.0 /* of the head, a second, by each process */
#define RELAYS 2.0 /* of a region, which read the table */
#define AUDIT_ROWS 2.0 /* head and audit row read for a change */
/* From `pf-bench --what spread`, see docs/SPREAD.md. */
#define SPREAD_NODE_BYTES 1307.0 /* a second, at one change in 30 s */
#define SPREAD_CHANGES (1.0 / 30)
#define SPREAD_LINK_BYTES 48822.0 /* of one change, over all links */

struct role {
	const char *name;
	double state; /* entries of its main table */
	double messages; /* a second */
	double bytes; /* a second */
	double ns; /* a second */
	double memory; /* bytes */
	/* Limits; 0: none is given. */
	double max_messages, max_bytes, max_core, max_memory;
};

static double at(const struct slope *s, double size)
{
	double v = s->base + s->per * size;

	return v > 0 ? v : 0;
}

static void print(const struct role *r)
{
	double core = r->ns / 1e7, mb = r->memory / 1e6;
	int over = (r->max_messages > 0 && r->messages > r->max_messages) ||
		   (r->max_bytes > 0 && r->bytes > r->max_bytes) ||
		   (r->max_core > 0 && core > r->max_core) ||
		   (r->max_memory > 0 && mb > r->max_memory);

	printf("capacity: role=%s state=%.0f messages_per_s=%.2f "
	       "messages_limit=%g bytes_per_s=%.0f bytes_limit=%g "
	       "core_percent=%.4f core_limit=%g mb=%.2f mb_limit=%g over=%s\n",
	       r->name, r->state, r->messages, r->max_messages, r->bytes,
	       r->max_bytes, core, r->max_core, mb, r->max_memory,
	       over ? "yes" : "no");
}

static void node(struct role r)
{
	r.max_bytes = BYTES_LIMIT;
	r.max_core = CORE_LIMIT;
	r.max_memory = MEMORY_LIMIT;
	print(&r);
}

/* Rates and sizes that several roles share. */
struct load {
	double changes;
	double requests;
	double tokens;
	double alive;
	double sessions;
	double report;
	double record;
	double config;
	double rebuild;
	double region;
	double piece;
	double rows_per_call;
};

static void entry_roles(const struct slope *all, const struct load *l)
{
	node((struct role){
		.name = "entry",
		.state = SUBSET,
		.messages = SUBSET * REPORTS_PER_S,
		.bytes = SUBSET * REPORTS_PER_S * l->report,
		.ns = SUBSET * REPORTS_PER_S *
		      at(&all[SLOPE_ENTRY_REPORT_NS], ITEMS),
		.memory = at(&all[SLOPE_ENTRY_AGENT_BYTES], SUBSET) });
	/* Bytes at most, as if all of them grew with the changes. */
	node((struct role){ .name = "entry_config",
			    .state = RECORDS,
			    .messages = l->changes,
			    .bytes = SPREAD_NODE_BYTES * l->changes /
				     SPREAD_CHANGES,
			    .ns = l->changes * l->rebuild,
			    .memory = l->config });
	print(&(struct role){
		.name = "entry_requests",
		.state = l->alive,
		.messages = l->requests * 3 + l->tokens,
		.bytes = l->tokens * l->piece,
		.ns = l->requests * at(&all[SLOPE_ENTRY_REQUEST_NS], SUBSET) +
		      l->tokens * at(&all[SLOPE_ENTRY_PIECE_NS], SUBSET),
		.memory = all[SLOPE_ENTRY_REQUEST_BYTES].per * l->alive });
}

static void agent_roles(const struct slope *all, const struct load *l)
{
	node((struct role){ .name = "agent",
			    .state = l->sessions,
			    .messages = l->sessions * REPORTS_PER_S,
			    .bytes = l->sessions * REPORTS_PER_S * l->report,
			    .ns = REPORTS_PER_S *
				  at(&all[SLOPE_AGENT_TICK_NS], 256),
			    .memory = at(&all[SLOPE_AGENT_RUN_BYTES], 256) });
	print(&(struct role){ .name = "agent_runs",
			      .state = REQUESTS_PER_S / WORKERS * REQUEST_S,
			      .messages = (REQUESTS_PER_S * 3 + TOKENS_PER_S) /
					  WORKERS,
			      .bytes = TOKENS_PER_S / WORKERS * l->piece,
			      .ns = REQUESTS_PER_S / WORKERS *
					    at(&all[SLOPE_AGENT_RUN_NS], 256) +
				    TOKENS_PER_S / WORKERS *
					    at(&all[SLOPE_AGENT_TOKEN_NS], 256),
			      .memory = 0 });
}

static void region_roles(const struct slope *all, const struct load *l)
{
	/* On top of what it spends as an entry. */
	node((struct role){ .name = "relay",
			    .state = RECORDS,
			    .messages = POLL_READS + l->changes * AUDIT_ROWS,
			    .bytes = POLL_READS * ANSWER_BYTES +
				     l->changes * 3 * l->record });
	/* At the entries that take the changes, shared by all of them. */
	print(&(struct role){
		.name = "accept",
		.state = RECORDS,
		.messages = l->changes *
			    (at(&all[SLOPE_ACCEPT_READS], RECORDS) + 1),
		.bytes = l->changes * 3 * l->record,
		.ns = l->changes * at(&all[SLOPE_ACCEPT_NS], RECORDS),
		.memory = l->config,
		.max_core = CORE_LIMIT,
		.max_memory = MEMORY_LIMIT });
	node((struct role){ .name = "planner",
			    .state = l->region + MODELS,
			    .messages = l->region / PLAN_EVERY_S,
			    .bytes = l->region / PLAN_EVERY_S * l->report,
			    .ns = at(&all[SLOPE_PLACE_NS], l->region) /
				  PLAN_EVERY_S,
			    .memory = at(&all[SLOPE_PLACE_BYTES], l->region) });
	node((struct role){
		.name = "shard_owner",
		.state = KEYS_OWNER,
		.messages = CALLS_PER_S / OWNERS * l->rows_per_call,
		.bytes = CALLS_PER_S / OWNERS * ANSWER_BYTES,
		.ns = CALLS_PER_S / OWNERS * all[SLOPE_CLAIM_CALL_NS].per,
		.memory = at(&all[SLOPE_CLAIM_KEY_BYTES], KEYS_OWNER) });
	print(&(struct role){ .name = "operators_client",
			      .state = RECORDS,
			      .messages = l->changes,
			      .bytes = l->changes * l->record,
			      .ns = l->changes * l->rebuild,
			      .memory = l->config });
}

static void platform_roles(const struct load *l)
{
	print(&(struct role){
		.name = "table_writes",
		.state = RECORDS,
		.messages = 3 * l->changes + CALLS_PER_S * l->rows_per_call +
			    OWNERS + REGIONS + 2 * REPLACED_PER_DAY / DAY_S,
		.bytes = l->changes * l->record + CALLS_PER_S * ANSWER_BYTES,
		.max_messages = TABLE_WRITES });
	print(&(struct role){
		.name = "table_reads",
		.state = RECORDS,
		.messages = REGIONS * RELAYS *
				    (POLL_READS + l->changes * AUDIT_ROWS) +
			    OWNERS,
		.bytes = REGIONS * RELAYS * l->changes * 3 * l->record,
		.max_messages = TABLE_READS });
	print(&(struct role){ .name = "region_link",
			      .messages = l->changes,
			      .bytes = l->changes * SPREAD_LINK_BYTES,
			      .max_bytes = LINK_BYTES });
}

void capacity_roles(const struct slope *all, const struct claim_rate *claims)
{
	struct load l = { .rows_per_call = claims->rows_per_call };

	l.changes = CHANGES_PER_DAY / DAY_S;
	l.requests = REQUESTS_PER_S / ENTRIES;
	l.tokens = TOKENS_PER_S / ENTRIES;
	l.alive = l.requests * REQUEST_S;
	l.sessions = SUBSET * ENTRIES / WORKERS;
	l.report = at(&all[SLOPE_WIRE_REPORT_ITEM], ITEMS);
	l.record = all[SLOPE_RECORD_TEXT].per;
	l.config = at(&all[SLOPE_RECORD_BYTES], RECORDS);
	l.rebuild = at(&all[SLOPE_RECORD_PARSE_NS], RECORDS) +
		    at(&all[SLOPE_RECORD_BUILD_NS], RECORDS);
	l.region = WORKERS / REGIONS;
	l.piece = at(&all[SLOPE_WIRE_PIECE_TOKEN], 1);
	printf("capacity: size entries=%g workers=%g regions=%g models=%g "
	       "requests_per_s=%g tokens_per_s=%g changes_per_s=%.3f "
	       "records=%g subset=%g reports_per_s=%g\n",
	       ENTRIES, WORKERS, REGIONS, MODELS, REQUESTS_PER_S, TOKENS_PER_S,
	       l.changes, RECORDS, SUBSET, REPORTS_PER_S);
	entry_roles(all, &l);
	agent_roles(all, &l);
	region_roles(all, &l);
	platform_roles(&l);
}
