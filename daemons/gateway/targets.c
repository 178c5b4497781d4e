/* Endpoints: what the store lists, and connections to each. */
#include "gateway.h"

#include <stdlib.h>
#include <string.h>

struct target *target_find(struct gateway *g, uint64_t id)
{
	struct target *t;

	LIST_FOREACH(t, &g->targets, next)
	{
		if (t->listed.id == id && !t->gone)
			return t;
	}
	return NULL;
}

static void target_free(struct target *t)
{
	LIST_REMOVE(t, next);
	pf_endpoint_info_clear(&t->listed);
	free(t);
}

void target_put(struct target *t)
{
	t->refs--;
}

void target_use(struct target *t, uint64_t adapter)
{
	uint32_t i;

	if (!adapter)
		return;
	for (i = 0; i < t->n_used; i++) {
		if (t->used[i].adapter == adapter) {
			t->used[i].requests++;
			return;
		}
	}
	/* Beyond the bound the loader may give up an adapter in use. */
	if (t->n_used < TARGET_USED_MAX)
		t->used[t->n_used++] = (struct target_use){ adapter, 1 };
	t->used_changed = true;
}

void target_unuse(struct target *t, uint64_t adapter)
{
	uint32_t i;

	for (i = 0; i < t->n_used; i++) {
		if (t->used[i].adapter != adapter)
			continue;
		if (--t->used[i].requests == 0) {
			t->used[i] = t->used[--t->n_used];
			t->used_changed = true;
		}
		return;
	}
}

static void tell_core(struct gateway *g, const struct pf_endpoint_info *l)
{
	struct pf_gate_msg m = { .type = PF_GATE_ENDPOINT };

	m.u.endpoint = l;
	talk_endpoint(g, l);
	core_step(g, &m);
}

/* The sweep frees it once no connection needs it. */
static void forget(struct target *t, const char *why)
{
	struct pf_gate_msg m = { .type = PF_GATE_ENDPOINT_GONE };
	struct gateway *g = t->g;

	PF_LOG(&g->log, PF_LOG_INFO, "endpoint_gone",
	       PF_KV_STR("endpoint", t->listed.instance),
	       PF_KV_STR("why", why));
	m.u.id = t->listed.id;
	t->gone = true;
	g->n_targets--;
	talk_endpoint_gone(g, t->listed.id);
	core_step(g, &m);
}

static bool same_state(const struct pf_endpoint_info *a,
		       const struct pf_endpoint_info *b)
{
	return a->draining == b->draining && a->incarnation == b->incarnation &&
	       strcmp(a->addr, b->addr) == 0;
}

static void log_listed(struct gateway *g, const struct pf_endpoint_info *l)
{
	PF_LOG(&g->log, PF_LOG_INFO, "endpoint",
	       PF_KV_STR("endpoint", l->instance), PF_KV_STR("addr", l->addr),
	       PF_KV_STR("state", l->draining ? "draining" : "ready"),
	       PF_KV_INT("remaining_ms", l->remaining),
	       PF_KV_INT("models", l->n_residents));
}

/* The others are to know that there is something to read. */
static void changed(struct gateway *g, uint64_t revision)
{
	if (revision > g->endpoints_changed)
		g->endpoints_changed = revision;
}

static struct target *target_new(struct gateway *g)
{
	struct target *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->g = g;
	LIST_INSERT_HEAD(&g->targets, t, next);
	g->n_targets++;
	return t;
}

void target_unlisted(struct target *t, uint64_t revision, pf_ms lapse)
{
	changed(t->g, revision);
	if (lapse > pf_clock_now())
		t->lapsed = lapse;
	else
		forget(t, "its entry is gone");
}

/* Whether another endpoint started later at the same address. */
static bool replaced(struct gateway *g, const struct pf_endpoint_info *l)
{
	const struct target *t;

	LIST_FOREACH(t, &g->targets, next)
	{
		if (!t->gone && t->listed.id != l->id &&
		    strcmp(t->listed.addr, l->addr) == 0 &&
		    t->listed.incarnation > l->incarnation)
			return true;
	}
	return false;
}

/* Those that stood at the address before are gone, listed or not. */
static void forget_replaced(struct gateway *g, const struct pf_endpoint_info *l)
{
	struct target *t;

	LIST_FOREACH(t, &g->targets, next)
	{
		if (!t->gone && t->listed.id != l->id &&
		    strcmp(t->listed.addr, l->addr) == 0)
			forget(t, "another started at its address");
	}
}

void target_listed(struct gateway *g, struct pf_str key, struct pf_str value,
		   uint64_t revision)
{
	struct target *t = target_find(g, pf_id(key));
	struct pf_endpoint_info l;
	const char *why;

	if (t && t->revision >= revision)
		return;
	if (platform_endpoint(key, value, &l, &why) < 0) {
		PF_LOG(&g->log, PF_LOG_WARN, "endpoint_unreadable",
		       PF_KV_TEXT("endpoint", key), PF_KV_STR("why", why),
		       PF_KV_INT("revision", revision));
		if (t)
			forget(t, "its entry can't be read");
		return;
	}
	if (replaced(g, &l)) {
		pf_endpoint_info_clear(&l);
		if (t)
			forget(t, "another started at its address");
		return;
	}
	forget_replaced(g, &l);
	if (!t) {
		t = target_new(g);
		if (!t) {
			pf_endpoint_info_clear(&l);
			return;
		}
		changed(g, revision);
		log_listed(g, &l);
	} else if (!same_state(&t->listed, &l)) {
		changed(g, revision);
		log_listed(g, &l);
		upstream_close_idle(t);
	}
	pf_endpoint_info_clear(&t->listed);
	t->listed = l;
	t->revision = revision;
	t->lapsed = 0;
	tell_core(g, &t->listed);
}

void targets_sweep(struct gateway *g)
{
	struct target *t = LIST_FIRST(&g->targets);
	pf_ms now = pf_clock_now();
	struct target *next;

	for (; t; t = next) {
		next = LIST_NEXT(t, next);
		if (!t->gone && t->lapsed && now >= t->lapsed)
			forget(t, "its entry did not come back");
		if (t->gone && t->refs == 0)
			target_free(t);
	}
}

void targets_stop(struct gateway *g)
{
	struct target *t = LIST_FIRST(&g->targets);
	struct target *next;

	for (; t; t = next) {
		next = LIST_NEXT(t, next);
		target_free(t);
	}
}
