/* The endpoints in the store, and the adapters that requests use at them. */
#include "gateway.h"

#include <stdlib.h>
#include <string.h>

struct endpoint *endpoint_find(struct gateway *g, uint64_t id)
{
	struct endpoint *e;

	LIST_FOREACH(e, &g->endpoints, next)
	{
		if (e->info.id == id && !e->removed)
			return e;
	}
	return NULL;
}

static void endpoint_free(struct endpoint *e)
{
	LIST_REMOVE(e, next);
	pf_endpoint_info_clear(&e->info);
	free(e);
}

void endpoint_unref(struct endpoint *e)
{
	e->refs--;
}

void endpoint_use_adapter(struct endpoint *e, uint64_t adapter)
{
	uint32_t i;

	if (!adapter)
		return;
	for (i = 0; i < e->n_adapters_in_use; i++) {
		if (e->adapters_in_use[i].adapter == adapter) {
			e->adapters_in_use[i].requests++;
			return;
		}
	}
	/*
	 * Adapters beyond the limit are not reported; the loader may evict
	 * them.
	 */
	if (e->n_adapters_in_use < ENDPOINT_ADAPTERS_MAX)
		e->adapters_in_use[e->n_adapters_in_use++] =
			(struct adapter_use){ adapter, 1 };
	e->usage_changed = true;
}

void endpoint_release_adapter(struct endpoint *e, uint64_t adapter)
{
	uint32_t i;

	for (i = 0; i < e->n_adapters_in_use; i++) {
		if (e->adapters_in_use[i].adapter != adapter)
			continue;
		if (--e->adapters_in_use[i].requests == 0) {
			e->adapters_in_use[i] =
				e->adapters_in_use[--e->n_adapters_in_use];
			e->usage_changed = true;
		}
		return;
	}
}

static void update_cores(struct gateway *g, const struct pf_endpoint_info *info)
{
	struct pf_gate_msg m = { .type = PF_GATE_ENDPOINT };

	m.u.endpoint = info;
	talk_endpoint_updated(g, info);
	core_step(g, &m);
}

/* Removes @e from the cores; endpoints_sweep() frees it. */
static void remove_endpoint(struct endpoint *e, const char *why)
{
	struct pf_gate_msg m = { .type = PF_GATE_ENDPOINT_GONE };
	struct gateway *g = e->gateway;

	PF_LOG(&g->log, PF_LOG_INFO, "endpoint_gone",
	       PF_KV_STR("endpoint", e->info.instance), PF_KV_STR("why", why));
	m.u.id = e->info.id;
	e->removed = true;
	g->n_endpoints--;
	talk_endpoint_removed(g, e->info.id);
	core_step(g, &m);
}

static bool same_state(const struct pf_endpoint_info *a,
		       const struct pf_endpoint_info *b)
{
	return a->draining == b->draining && a->incarnation == b->incarnation &&
	       strcmp(a->addr, b->addr) == 0;
}

static void log_endpoint(struct gateway *g, const struct pf_endpoint_info *info)
{
	PF_LOG(&g->log, PF_LOG_INFO, "endpoint",
	       PF_KV_STR("endpoint", info->instance),
	       PF_KV_STR("addr", info->addr),
	       PF_KV_STR("version", info->software_version),
	       PF_KV_STR("state", info->draining ? "draining" : "ready"),
	       PF_KV_INT("remaining_ms", info->remaining),
	       PF_KV_INT("models", info->n_residents));
}

/* Records a change, which digests announce to the other gateways. */
static void set_endpoints_revision(struct gateway *g, uint64_t revision)
{
	if (revision > g->endpoints_revision)
		g->endpoints_revision = revision;
}

static struct endpoint *endpoint_new(struct gateway *g)
{
	struct endpoint *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->gateway = g;
	e->limit_per_s = -1;
	e->planned_limit = -1;
	LIST_INSERT_HEAD(&g->endpoints, e, next);
	g->n_endpoints++;
	return e;
}

void endpoint_row_deleted(struct endpoint *e, uint64_t revision,
			  pf_ms remove_at)
{
	set_endpoints_revision(e->gateway, revision);
	if (remove_at > pf_clock_now())
		e->remove_at = remove_at;
	else
		remove_endpoint(e, "row deleted");
}

/* Whether a newer endpoint is known at the same address. */
static bool is_superseded(struct gateway *g,
			  const struct pf_endpoint_info *info)
{
	const struct endpoint *e;

	LIST_FOREACH(e, &g->endpoints, next)
	{
		if (!e->removed && e->info.id != info->id &&
		    strcmp(e->info.addr, info->addr) == 0 &&
		    e->info.incarnation > info->incarnation)
			return true;
	}
	return false;
}

/* Removes older endpoints at the same address, even if their rows remain. */
static void remove_superseded(struct gateway *g,
			      const struct pf_endpoint_info *info)
{
	struct endpoint *e;

	LIST_FOREACH(e, &g->endpoints, next)
	{
		if (!e->removed && e->info.id != info->id &&
		    strcmp(e->info.addr, info->addr) == 0)
			remove_endpoint(e, "replaced at its address");
	}
}

/*
 * The first row after a restore may be older than the one before it. An
 * endpoint that was draining does not become ready by it.
 */
static void keep_draining(const struct endpoint *e,
			  struct pf_endpoint_info *info)
{
	if (e->revision != 0 || !e->info.draining || info->draining ||
	    e->info.incarnation != info->incarnation)
		return;
	info->draining = true;
	info->remaining = e->info.remaining;
}

void endpoint_update(struct gateway *g, struct pf_str key, struct pf_str value,
		     uint64_t revision)
{
	struct endpoint *e = endpoint_find(g, pf_id(key));
	struct pf_endpoint_info info;
	const char *why;

	if (e && e->revision >= revision)
		return;
	if (platform_decode_endpoint(key, value, &info, &why) < 0) {
		PF_LOG(&g->log, PF_LOG_WARN, "endpoint_unreadable",
		       PF_KV_TEXT("endpoint", key), PF_KV_STR("why", why),
		       PF_KV_INT("revision", revision));
		if (e)
			remove_endpoint(e, "row unreadable");
		return;
	}
	if (is_superseded(g, &info)) {
		pf_endpoint_info_clear(&info);
		if (e)
			remove_endpoint(e, "replaced at its address");
		return;
	}
	remove_superseded(g, &info);
	if (e)
		keep_draining(e, &info);
	if (!e) {
		e = endpoint_new(g);
		if (!e) {
			pf_endpoint_info_clear(&info);
			return;
		}
		set_endpoints_revision(g, revision);
		log_endpoint(g, &info);
	} else if (!same_state(&e->info, &info)) {
		set_endpoints_revision(g, revision);
		log_endpoint(g, &info);
		e->generation++;
		upstream_close_idle(e);
	}
	if (e->info.incarnation != info.incarnation)
		e->limit_per_s = -1;
	pf_endpoint_info_clear(&e->info);
	e->info = info;
	e->revision = revision;
	e->remove_at = 0;
	update_cores(g, &e->info);
}

void endpoints_on_restore(struct gateway *g, pf_ms remove_at)
{
	struct endpoint *e;

	g->endpoints_revision = 0;
	LIST_FOREACH(e, &g->endpoints, next)
	{
		e->revision = 0;
		if (e->remove_at && e->remove_at < remove_at)
			e->remove_at = remove_at;
	}
}

void endpoints_sweep(struct gateway *g)
{
	struct endpoint *e = LIST_FIRST(&g->endpoints);
	pf_ms now = pf_clock_now();
	struct endpoint *next;

	for (; e; e = next) {
		next = LIST_NEXT(e, next);
		if (!e->removed && e->remove_at && now >= e->remove_at)
			remove_endpoint(e, "row not written again");
		if (e->removed && e->refs == 0)
			endpoint_free(e);
	}
}

void endpoints_stop(struct gateway *g)
{
	struct endpoint *e = LIST_FIRST(&g->endpoints);
	struct endpoint *next;

	for (; e; e = next) {
		next = LIST_NEXT(e, next);
		endpoint_free(e);
	}
}
