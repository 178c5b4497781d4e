/* Takes an incarnation number, then follows the configuration. */
#include "daemon.h"
#include "pimentoford/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TABLE_TIMEOUT_MS 3000
/* For a full read of the configuration, in pages. */
#define READ_TIMEOUT_MS 10000
#define RETRY_MS 200
#define KEY_BYTES_MAX 128
/* Incarnations of one era; an incarnation is the upper half of order ids. */
#define ERA_INCARNATIONS_BITS 16
#define ERA_MAX UINT16_MAX

static void take_incarnation(struct daemon *d);
static void start_follower(struct daemon *d);

/* Parses the decimal number in a row; 0: none. */
static uint64_t parse_number(const struct pf_table_row *row)
{
	char value[32];

	snprintf(value, sizeof(value), "%.*s", (int)row->value.n, row->value.p);
	return strtoull(value, NULL, 10);
}

static void retry_later(struct daemon *d, pf_ms wait)
{
	struct timeval tv;

	wait = wait / 2 + pf_rng_below(&d->rng, (uint32_t)wait);
	tv = pf_clock_timeval(wait);
	event_add(d->boot_timer, &tv);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	if (d->incarnation == 0)
		take_incarnation(d);
	else
		start_follower(d);
}

static struct pf_str incarnation_key(const struct daemon *d,
				     char buf[KEY_BYTES_MAX])
{
	int n = snprintf(buf, KEY_BYTES_MAX, "agent/%s",
			 d->settings.common.name);

	return (struct pf_str){ buf, (size_t)n };
}

/* A conditional write of a new incarnation number in flight. */
struct incarnation_write {
	struct daemon *d;
	uint64_t number;
};

static void on_incarnation_written(void *ctx,
				   const struct pf_table_txn_result *r)
{
	struct incarnation_write *t = ctx;
	struct daemon *d = t->d;
	uint64_t number = t->number;

	free(t);
	if (r->status != PF_TABLE_OK) {
		/* A write in doubt may have used the number: try the next. */
		d->counters.v[PF_AC_TABLE_ERRORS]++;
		retry_later(d, RETRY_MS);
		return;
	}
	d->incarnation = number;
	pf_rpc_set_incarnation(d->rpc, number);
	PF_LOG(&d->log, PF_LOG_INFO, "incarnation",
	       PF_KV_INT("number", (int64_t)number));
	start_follower(d);
}

static int write_incarnation(struct daemon *d, uint64_t number,
			     uint64_t revision)
{
	char key[KEY_BYTES_MAX];
	char value[32];
	int n = snprintf(value, sizeof(value), "%llu",
			 (unsigned long long)number);
	struct pf_table_check check = { incarnation_key(d, key), revision };
	struct pf_table_put put = { check.key, { value, (size_t)n } };
	struct pf_table_txn txn = {
		.checks = &check, .n_checks = 1, .puts = &put, .n_puts = 1
	};
	struct incarnation_write *t = malloc(sizeof(*t));

	if (!t)
		return -1;
	t->d = d;
	t->number = number;
	d->counters.v[PF_AC_TABLE_WRITES]++;
	if (pf_table_txn(d->table, "incarnation", &txn, on_incarnation_written,
			 t) == 0)
		return 0;
	free(t);
	return -1;
}

/*
 * The number after @last that no incarnation had: a restored table may lack the
 * numbers that were taken in earlier eras.
 */
static uint64_t next_incarnation(int64_t era, uint64_t last)
{
	uint64_t first = 0;

	if (era > 0)
		first = (uint64_t)(era < ERA_MAX ? era : ERA_MAX)
			<< ERA_INCARNATIONS_BITS;
	return (last > first ? last : first) + 1;
}

static void on_incarnation_read(void *ctx, const struct pf_table_rows *r)
{
	struct daemon *d = ctx;
	uint64_t number = 0;

	if (r->status == PF_TABLE_OK && r->n > 0)
		number = parse_number(&r->rows[0]);
	if (r->status != PF_TABLE_OK ||
	    write_incarnation(d,
			      next_incarnation(pf_table_era(d->table), number),
			      r->n > 0 ? r->rows[0].revision : 0) < 0) {
		d->counters.v[PF_AC_TABLE_ERRORS]++;
		retry_later(d, RETRY_MS);
	}
}

static void take_incarnation(struct daemon *d)
{
	char key[KEY_BYTES_MAX];

	d->counters.v[PF_AC_TABLE_READS]++;
	if (pf_table_get(d->table, incarnation_key(d, key), on_incarnation_read,
			 d) < 0)
		retry_later(d, RETRY_MS);
}

static void add_item_names(struct daemon *d, const struct pf_config *c)
{
	char name[512];
	size_t i;

	for (i = 0; i < c->n_models; i++) {
		snprintf(name, sizeof(name), "%s@%s", c->models[i].name,
			 c->models[i].version);
		names_add(d, name);
	}
	for (i = 0; i < c->n_adapters; i++) {
		snprintf(name, sizeof(name), "%s:%s", c->adapters[i].model,
			 c->adapters[i].name);
		names_add(d, name);
	}
}

/* Starts the cores for the endpoint in the first configuration. */
static int start_endpoint(struct daemon *d, const struct pf_endpoint *ep)
{
	d->kind = ep->kind;
	d->memory_bytes = ep->memory_bytes;
	d->batch_max = ep->batch_max;
	d->plain = ep->kind == PF_ENDPOINT_PLAIN;
	if (core_start(d) < 0)
		return -1;
	return d->plain ? claims_start(d, ep->service) : 0;
}

static void on_config(void *ctx, struct pf_config *c,
		      const struct pf_records *set)
{
	struct daemon *d = ctx;
	const struct pf_endpoint *ep = pf_config_endpoint(c, d->id);
	struct pf_agent_msg m = { .type = PF_AGENT_CONFIG };
	struct pf_config *old = d->config;
	bool first = !d->core;

	(void)set;
	if (first && !ep) {
		PF_LOG(&d->log, PF_LOG_WARN, "not_declared",
		       PF_KV_STR("endpoint", d->settings.common.name));
		pf_config_free(c);
		return;
	}
	if (first && start_endpoint(d, ep) < 0) {
		daemon_fail(d, "out of memory: agent core");
		return;
	}
	d->config = c;
	d->counters.v[PF_AC_REVISION] = c->revision;
	add_item_names(d, c);
	m.u.config = c;
	agent_step(d, &m);
	pf_config_free(old);
	PF_LOG(&d->log, PF_LOG_INFO, "config",
	       PF_KV_INT("revision", (int64_t)c->revision));
	if (ep && ep->drain)
		daemon_drain(d, "record");
	if (!first)
		return;
	if (watch_start(d) < 0)
		daemon_fail(d, "out of memory: backend client");
	pf_rpc_set_accepting(d->rpc, true);
}

static void on_config_refused(void *ctx, uint64_t revision,
			      const struct pf_findings *f)
{
	struct daemon *d = ctx;

	PF_LOG(&d->log, PF_LOG_ERROR, "config_refused",
	       PF_KV_INT("revision", (int64_t)revision),
	       PF_KV_STR("finding", f->n ? f->v[0].text : ""));
}

static void send_to_peer(void *ctx, uint64_t peer, const struct pf_wire_msg *m)
{
	links_send(ctx, peer, m);
}

static void start_follower(struct daemon *d)
{
	struct pf_config_follower_opts o = {
		.base = d->base,
		.table = d->table,
		.send = send_to_peer,
		.adopt = on_config,
		.refused = on_config_refused,
		.ctx = d,
	};

	pf_spread_opts_default(&o.core);
	o.core.self = d->id;
	o.core.region = pf_id(pf_str_c(d->settings.common.region));
	o.core.seed = pf_process_random();
	o.core.peers_max = d->settings.sessions;
	o.core.read_timeout = READ_TIMEOUT_MS;
	d->follower = pf_config_follower_new(&o);
	if (!d->follower)
		daemon_fail(d, "out of memory: configuration follower");
}

int boot_start(struct daemon *d)
{
	struct pf_table_opts o = {
		.base = d->base,
		.addr = d->settings.common.platform,
		.calls_max = 64,
		.timeout = TABLE_TIMEOUT_MS,
		.body_max = (size_t)32 << 20,
		.log = &d->log,
	};

	d->table = pf_table_new(&o);
	d->boot_timer = evtimer_new(d->base, on_timer, d);
	if (!d->table || !d->boot_timer)
		return -1;
	take_incarnation(d);
	return 0;
}
