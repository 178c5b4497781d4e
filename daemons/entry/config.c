/* Adopts newer configurations from the table or from peers. */
#include "daemon.h"

#include <stdlib.h>

#define TABLE_TIMEOUT_MS 3000
/* For a whole set of records, which is read in pages. */
#define READ_TIMEOUT_MS 10000

static char *records_text(const struct pf_records *set)
{
	struct pf_text t = { 0 };

	pf_records_text(set, &t);
	return pf_text_take(&t);
}

static void on_adopt(void *ctx, struct pf_config *c,
		     const struct pf_records *set)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_CONFIG };
	struct daemon *d = ctx;
	struct pf_config *old = d->config;

	d->config = c;
	free(d->config_text);
	d->config_text = records_text(set);
	d->counters.v[PF_EC_REVISION] = c->revision;
	m.u.config = c;
	entry_step(d, &m);
	planner_configure(d);
	links_configure(d);
	members_configure(d);
	pf_config_free(old);
	PF_LOG(&d->log, PF_LOG_INFO, "config",
	       PF_KV_INT("revision", (int64_t)c->revision));
}

static void on_refused(void *ctx, uint64_t revision,
		       const struct pf_findings *f)
{
	struct daemon *d = ctx;

	PF_LOG(&d->log, PF_LOG_ERROR, "config_refused",
	       PF_KV_INT("revision", (int64_t)revision),
	       PF_KV_STR("finding", f->n ? f->v[0].text : ""));
}

static void send_to(void *ctx, uint64_t peer, const struct pf_wire_msg *m)
{
	links_send_peer(ctx, peer, m);
}

int config_start(struct daemon *d)
{
	struct pf_table_opts o = {
		.base = d->base,
		.addr = d->settings.common.platform,
		.calls_max = 64,
		.timeout = TABLE_TIMEOUT_MS,
		.body_max = (size_t)32 << 20,
		.log = &d->log,
	};
	struct pf_config_follower_opts f = {
		.base = d->base,
		.send = send_to,
		.adopt = on_adopt,
		.refused = on_refused,
		.ctx = d,
	};

	pf_spread_opts_default(&f.core);
	f.core.self = d->id;
	f.core.region = pf_id(pf_str_c(d->settings.common.region));
	f.core.seed = pf_process_random();
	f.core.is_entry = true;
	f.core.poll_interval = d->settings.poll;
	f.core.read_timeout = READ_TIMEOUT_MS;
	d->table = pf_table_new(&o);
	if (!d->table)
		return -1;
	f.table = d->table;
	d->follower = pf_config_follower_new(&f);
	return d->follower ? 0 : -1;
}
