/* The configuration: read from the table, adopted when it is newer. */
#include "daemon.h"

#include <stdlib.h>

#define TABLE_TIMEOUT_MS 3000

static char *text_of(const struct pf_records *set)
{
	struct pf_text t = { 0 };

	pf_records_text(set, &t);
	return pf_text_take(&t);
}

static void adopt(void *ctx, struct pf_config *c, const struct pf_records *set)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_CONFIG };
	struct daemon *d = ctx;
	struct pf_config *old = d->config;

	d->config = c;
	free(d->config_text);
	d->config_text = text_of(set);
	d->counters.v[PF_EC_REVISION] = c->revision;
	m.u.config = c;
	entry_step(d, &m);
	planner_configure(d);
	links_configure(d);
	pf_config_free(old);
	PF_LOG(&d->log, PF_LOG_INFO, "config",
	       PF_KV_INT("revision", (int64_t)c->revision));
}

static void refused(void *ctx, uint64_t revision, const struct pf_findings *f)
{
	struct daemon *d = ctx;

	PF_LOG(&d->log, PF_LOG_ERROR, "config_refused",
	       PF_KV_INT("revision", (int64_t)revision),
	       PF_KV_STR("finding", f->n ? f->v[0].text : ""));
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
	struct pf_config_reader_opts r = {
		.base = d->base,
		.poll = d->set.poll,
		.seed = pf_process_random(),
		.adopt = adopt,
		.refused = refused,
		.ctx = d,
	};

	d->table = pf_table_new(&o);
	if (!d->table)
		return -1;
	r.table = d->table;
	d->reader = pf_config_reader_new(&r);
	return d->reader ? 0 : -1;
}
