/* The load of each role at the target size, from the measured costs. */
#include "bench/capacity.h"

#include <stdio.h>

/* Target size. */
#define ENTRIES 1700.0
#define WORKERS 10000.0
#define REGIONS 9.0
#define MODELS 270.0
#define REQUESTS_PER_S 43000.0
#define TOKENS_PER_S 17e6
#define CHANGES_PER_DAY 9000.0
#define REPLACED_PER_DAY 990.0 /* failed, restarted or replaced */
#define DAY_S 86400.0

/* Limits on control traffic, per node. */
#define CORE_PERCENT_MAX 3.4
#define MEMORY_MB_MAX 32.0
#define BYTES_PER_S_MAX 8000.0

/* Default options and assumptions. */
#define SESSIONS_PER_ENTRY 64.0 /* with agents */
#define REPORTS_PER_S 2.0
#define ITEMS_PER_REPORT 4.0 /* models and adapters */
#define REQUEST_DURATION_S 30.0
#define PLAN_INTERVAL_S 2.0
#define CALLS_PER_S 2000.0 /* never-repeat calls, all services */
#define SHARD_OWNERS 23.0
#define KEYS_PER_OWNER 200000.0 /* keys_max */
#define RECORDS (WORKERS + MODELS + 100 + 1000) /* adapters, callers */
#define TABLE_WRITES_PER_S_MAX 300.0 /* "several hundred" */
#define TABLE_READS_PER_S_MAX 2000.0
#define LINK_BYTES_PER_S_MAX (30e6 / 8)
#define REPLY_BYTES 100.0
#define POLL_READS_PER_S 2.0 /* of the head, per relay */
#define RELAYS_PER_REGION 2.0 /* entries that poll the table */
#define READS_PER_CHANGE 2.0 /* head and audit row */
/* From `pf-bench --what spread`, see docs/SPREAD.md. */
#define SPREAD_NODE_BYTES_PER_S 1307.0 /* at one change in 30 s */
#define SPREAD_CHANGES_PER_S (1.0 / 30)
#define SPREAD_LINK_BYTES_PER_CHANGE 48822.0 /* over all links */

struct role {
	const char *name;
	double table_entries; /* of its main table */
	double messages_per_s;
	double bytes_per_s;
	double cpu_ns_per_s;
	double memory_bytes;
	/* Limits; 0: none. */
	double max_messages_per_s, max_bytes_per_s, max_core_percent,
		max_memory_mb;
};

static double slope_at(const struct slope *s, double size)
{
	double v = s->base + s->per_unit * size;

	return v > 0 ? v : 0;
}

static void print_role(const struct role *r)
{
	double core = r->cpu_ns_per_s / 1e7, mb = r->memory_bytes / 1e6;
	int over = (r->max_messages_per_s > 0 &&
		    r->messages_per_s > r->max_messages_per_s) ||
		   (r->max_bytes_per_s > 0 &&
		    r->bytes_per_s > r->max_bytes_per_s) ||
		   (r->max_core_percent > 0 && core > r->max_core_percent) ||
		   (r->max_memory_mb > 0 && mb > r->max_memory_mb);

	printf("capacity: role=%s state=%.0f messages_per_s=%.2f "
	       "messages_limit=%g bytes_per_s=%.0f bytes_limit=%g "
	       "core_percent=%.4f core_limit=%g mb=%.2f mb_limit=%g over=%s\n",
	       r->name, r->table_entries, r->messages_per_s,
	       r->max_messages_per_s, r->bytes_per_s, r->max_bytes_per_s, core,
	       r->max_core_percent, mb, r->max_memory_mb, over ? "yes" : "no");
}

static void print_node_role(struct role r)
{
	r.max_bytes_per_s = BYTES_PER_S_MAX;
	r.max_core_percent = CORE_PERCENT_MAX;
	r.max_memory_mb = MEMORY_MB_MAX;
	print_role(&r);
}

/* Rates and sizes used by several roles. */
struct shared_load {
	double changes_per_s;
	double requests_per_s;
	double tokens_per_s;
	double requests_in_flight;
	double sessions_per_agent;
	double report_bytes;
	double record_bytes;
	double config_bytes;
	double rebuild_ns;
	double agents_per_region;
	double piece_bytes;
	double rows_per_call;
};

static void entry_roles(const struct slope *all, const struct shared_load *l)
{
	print_node_role((struct role){
		.name = "entry",
		.table_entries = SESSIONS_PER_ENTRY,
		.messages_per_s = SESSIONS_PER_ENTRY * REPORTS_PER_S,
		.bytes_per_s =
			SESSIONS_PER_ENTRY * REPORTS_PER_S * l->report_bytes,
		.cpu_ns_per_s =
			SESSIONS_PER_ENTRY * REPORTS_PER_S *
			slope_at(&all[SLOPE_ENTRY_REPORT_NS], ITEMS_PER_REPORT),
		.memory_bytes = slope_at(&all[SLOPE_ENTRY_AGENT_BYTES],
					 SESSIONS_PER_ENTRY) });
	/* Upper bound: assumes that all bytes scale with the changes. */
	print_node_role((struct role){
		.name = "entry_config",
		.table_entries = RECORDS,
		.messages_per_s = l->changes_per_s,
		.bytes_per_s = SPREAD_NODE_BYTES_PER_S * l->changes_per_s /
			       SPREAD_CHANGES_PER_S,
		.cpu_ns_per_s = l->changes_per_s * l->rebuild_ns,
		.memory_bytes = l->config_bytes });
	print_role(&(struct role){
		.name = "entry_requests",
		.table_entries = l->requests_in_flight,
		.messages_per_s = l->requests_per_s * 3 + l->tokens_per_s,
		.bytes_per_s = l->tokens_per_s * l->piece_bytes,
		.cpu_ns_per_s =
			l->requests_per_s *
				slope_at(&all[SLOPE_ENTRY_REQUEST_NS],
					 SESSIONS_PER_ENTRY) +
			l->tokens_per_s * slope_at(&all[SLOPE_ENTRY_PIECE_NS],
						   SESSIONS_PER_ENTRY),
		.memory_bytes = all[SLOPE_ENTRY_REQUEST_BYTES].per_unit *
				l->requests_in_flight });
}

static void agent_roles(const struct slope *all, const struct shared_load *l)
{
	print_node_role((struct role){
		.name = "agent",
		.table_entries = l->sessions_per_agent,
		.messages_per_s = l->sessions_per_agent * REPORTS_PER_S,
		.bytes_per_s =
			l->sessions_per_agent * REPORTS_PER_S * l->report_bytes,
		.cpu_ns_per_s = REPORTS_PER_S *
				slope_at(&all[SLOPE_AGENT_TICK_NS], 256),
		.memory_bytes = slope_at(&all[SLOPE_AGENT_RUN_BYTES], 256) });
	print_role(&(struct role){
		.name = "agent_runs",
		.table_entries = REQUESTS_PER_S / WORKERS * REQUEST_DURATION_S,
		.messages_per_s = (REQUESTS_PER_S * 3 + TOKENS_PER_S) / WORKERS,
		.bytes_per_s = TOKENS_PER_S / WORKERS * l->piece_bytes,
		.cpu_ns_per_s =
			REQUESTS_PER_S / WORKERS *
				slope_at(&all[SLOPE_AGENT_RUN_NS], 256) +
			TOKENS_PER_S / WORKERS *
				slope_at(&all[SLOPE_AGENT_TOKEN_NS], 256),
		.memory_bytes = 0 });
}

static void region_roles(const struct slope *all, const struct shared_load *l)
{
	/* In addition to its load as an entry. */
	print_node_role((struct role){
		.name = "relay",
		.table_entries = RECORDS,
		.messages_per_s =
			POLL_READS_PER_S + l->changes_per_s * READS_PER_CHANGE,
		.bytes_per_s = POLL_READS_PER_S * REPLY_BYTES +
			       l->changes_per_s * 3 * l->record_bytes });
	/* Total of the entries that accept changes. */
	print_role(&(struct role){
		.name = "accept",
		.table_entries = RECORDS,
		.messages_per_s =
			l->changes_per_s *
			(slope_at(&all[SLOPE_ACCEPT_READS], RECORDS) + 1),
		.bytes_per_s = l->changes_per_s * 3 * l->record_bytes,
		.cpu_ns_per_s = l->changes_per_s *
				slope_at(&all[SLOPE_ACCEPT_NS], RECORDS),
		.memory_bytes = l->config_bytes,
		.max_core_percent = CORE_PERCENT_MAX,
		.max_memory_mb = MEMORY_MB_MAX });
	print_node_role((struct role){
		.name = "planner",
		.table_entries = l->agents_per_region + MODELS,
		.messages_per_s = l->agents_per_region / PLAN_INTERVAL_S,
		.bytes_per_s = l->agents_per_region / PLAN_INTERVAL_S *
			       l->report_bytes,
		.cpu_ns_per_s =
			slope_at(&all[SLOPE_PLANNER_NS], l->agents_per_region) /
			PLAN_INTERVAL_S,
		.memory_bytes = slope_at(&all[SLOPE_PLANNER_BYTES],
					 l->agents_per_region) });
	print_node_role((struct role){
		.name = "shard_owner",
		.table_entries = KEYS_PER_OWNER,
		.messages_per_s = CALLS_PER_S / SHARD_OWNERS * l->rows_per_call,
		.bytes_per_s = CALLS_PER_S / SHARD_OWNERS * REPLY_BYTES,
		.cpu_ns_per_s = CALLS_PER_S / SHARD_OWNERS *
				all[SLOPE_CLAIM_CALL_NS].per_unit,
		.memory_bytes = slope_at(&all[SLOPE_CLAIM_KEY_BYTES],
					 KEYS_PER_OWNER) });
	print_role(&(struct role){
		.name = "operators_client",
		.table_entries = RECORDS,
		.messages_per_s = l->changes_per_s,
		.bytes_per_s = l->changes_per_s * l->record_bytes,
		.cpu_ns_per_s = l->changes_per_s * l->rebuild_ns,
		.memory_bytes = l->config_bytes });
}

static void platform_roles(const struct shared_load *l)
{
	print_role(&(struct role){
		.name = "table_writes",
		.table_entries = RECORDS,
		.messages_per_s =
			3 * l->changes_per_s + CALLS_PER_S * l->rows_per_call +
			SHARD_OWNERS + REGIONS + 2 * REPLACED_PER_DAY / DAY_S,
		.bytes_per_s = l->changes_per_s * l->record_bytes +
			       CALLS_PER_S * REPLY_BYTES,
		.max_messages_per_s = TABLE_WRITES_PER_S_MAX });
	print_role(&(struct role){
		.name = "table_reads",
		.table_entries = RECORDS,
		.messages_per_s =
			REGIONS * RELAYS_PER_REGION *
				(POLL_READS_PER_S +
				 l->changes_per_s * READS_PER_CHANGE) +
			SHARD_OWNERS,
		.bytes_per_s = REGIONS * RELAYS_PER_REGION * l->changes_per_s *
			       3 * l->record_bytes,
		.max_messages_per_s = TABLE_READS_PER_S_MAX });
	print_role(&(struct role){ .name = "region_link",
				   .messages_per_s = l->changes_per_s,
				   .bytes_per_s = l->changes_per_s *
						  SPREAD_LINK_BYTES_PER_CHANGE,
				   .max_bytes_per_s = LINK_BYTES_PER_S_MAX });
}

void capacity_print_roles(const struct slope *all,
			  const struct claim_rate *claims)
{
	struct shared_load l = { .rows_per_call = claims->rows_per_call };

	l.changes_per_s = CHANGES_PER_DAY / DAY_S;
	l.requests_per_s = REQUESTS_PER_S / ENTRIES;
	l.tokens_per_s = TOKENS_PER_S / ENTRIES;
	l.requests_in_flight = l.requests_per_s * REQUEST_DURATION_S;
	l.sessions_per_agent = SESSIONS_PER_ENTRY * ENTRIES / WORKERS;
	l.report_bytes =
		slope_at(&all[SLOPE_WIRE_REPORT_ITEM], ITEMS_PER_REPORT);
	l.record_bytes = all[SLOPE_RECORD_TEXT_BYTES].per_unit;
	l.config_bytes = slope_at(&all[SLOPE_RECORD_BYTES], RECORDS);
	l.rebuild_ns = slope_at(&all[SLOPE_RECORD_PARSE_NS], RECORDS) +
		       slope_at(&all[SLOPE_RECORD_BUILD_NS], RECORDS);
	l.agents_per_region = WORKERS / REGIONS;
	l.piece_bytes = slope_at(&all[SLOPE_WIRE_PIECE_TOKEN], 1);
	printf("capacity: size entries=%g workers=%g regions=%g models=%g "
	       "requests_per_s=%g tokens_per_s=%g changes_per_s=%.3f "
	       "records=%g subset=%g reports_per_s=%g\n",
	       ENTRIES, WORKERS, REGIONS, MODELS, REQUESTS_PER_S, TOKENS_PER_S,
	       l.changes_per_s, RECORDS, SESSIONS_PER_ENTRY, REPORTS_PER_S);
	entry_roles(all, &l);
	agent_roles(all, &l);
	region_roles(all, &l);
	platform_roles(&l);
}
