/* The configuration: read from the table, adopted when it is newer. */
#include "daemon.h"

#include "pimentoford/records.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TABLE_TIMEOUT_MS 3000
#define ROWS_MAX 16

static void read_head(struct daemon *d);

static void again(struct daemon *d)
{
	pf_ms wait =
		d->set.poll / 2 + pf_rng_below(&d->rng, (uint32_t)d->set.poll);
	struct timeval tv = { wait / 1000, (wait % 1000) * 1000 };

	event_add(d->config_timer, &tv);
}

static uint64_t number_of(const struct pf_table_row *row)
{
	char value[32];

	snprintf(value, sizeof(value), "%.*s", (int)row->value.n, row->value.p);
	return strtoull(value, NULL, 10);
}

static struct pf_config *build(struct daemon *d, uint64_t revision,
			       struct pf_str text)
{
	struct pf_findings f = { 0 };
	struct pf_records set = { 0 };
	struct pf_config *c = NULL;

	if (pf_records_parse(text, "config/text", &set, &f) < 0 ||
	    pf_records_build(&set, revision, &f, &c) < 0) {
		PF_LOG(&d->log, PF_LOG_ERROR, "config_refused",
		       PF_KV_INT("revision", (int64_t)revision),
		       PF_KV_STR("finding", f.n ? f.v[0].text : ""));
		c = NULL;
	}
	pf_records_free(&set);
	pf_findings_clear(&f);
	return c;
}

static void adopt(struct daemon *d, struct pf_config *c, struct pf_str text)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_CONFIG };
	struct pf_config *old = d->config;

	d->config = c;
	free(d->config_text);
	d->config_text = pf_str_dup(text);
	d->counters.v[PF_EC_REVISION] = c->revision;
	m.u.config = c;
	entry_step(d, &m);
	links_configure(d);
	pf_config_free(old);
	PF_LOG(&d->log, PF_LOG_INFO, "config",
	       PF_KV_INT("revision", (int64_t)c->revision));
}

static void on_set(void *ctx, const struct pf_table_rows *r)
{
	struct pf_str text = { 0 };
	struct daemon *d = ctx;
	uint64_t revision = 0;
	struct pf_config *c;
	size_t i;

	again(d);
	if (r->status != PF_TABLE_OK) {
		d->counters.v[PF_EC_TABLE_ERRORS]++;
		return;
	}
	for (i = 0; i < r->n; i++) {
		if (pf_str_eq(r->rows[i].key, PF_STR("config/head")))
			revision = number_of(&r->rows[i]);
		else if (pf_str_eq(r->rows[i].key, PF_STR("config/text")))
			text = r->rows[i].value;
	}
	/* Only higher revisions are adopted: nothing ever reverts. */
	if (!text.p || revision <= d->counters.v[PF_EC_REVISION])
		return;
	c = build(d, revision, text);
	if (c)
		adopt(d, c, text);
}

/* The whole set is read only when the head has moved. */
static void on_head(void *ctx, const struct pf_table_rows *r)
{
	struct daemon *d = ctx;

	if (r->status != PF_TABLE_OK)
		d->counters.v[PF_EC_TABLE_ERRORS]++;
	if (r->status != PF_TABLE_OK || r->n == 0 ||
	    number_of(&r->rows[0]) <= d->counters.v[PF_EC_REVISION]) {
		again(d);
		return;
	}
	d->counters.v[PF_EC_TABLE_READS]++;
	if (pf_table_scan(d->table, PF_STR("config/"), PF_STR(""), ROWS_MAX,
			  on_set, d) < 0)
		again(d);
}

static void read_head(struct daemon *d)
{
	d->counters.v[PF_EC_TABLE_READS]++;
	if (pf_table_get(d->table, PF_STR("config/head"), on_head, d) < 0)
		again(d);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	read_head(ctx);
}

int config_start(struct daemon *d)
{
	struct pf_table_opts o = {
		.base = d->base,
		.addr = d->set.place.platform,
		.calls_max = 64,
		.timeout = TABLE_TIMEOUT_MS,
		.body_max = (size_t)32 << 20,
	};

	d->table = pf_table_new(&o);
	d->config_timer = evtimer_new(d->base, on_timer, d);
	if (!d->table || !d->config_timer)
		return -1;
	read_head(d);
	return 0;
}
