/* Membership core: states, incarnations and heartbeats. */
#include "pimentoford/member.h"

#include "src/coordination/member_internal.h"

#include <stdlib.h>
#include <string.h>

/* Weight of the newest gap in the mean, and deviations until suspicion. */
#define GAP_WEIGHT 0.125
#define SPREAD_WEIGHT 0.25
#define DEVIATIONS 6
/* Heartbeats that may be missing. */
#define MISSED 3
#define CHECK_EVERY 250

const char *pf_member_state_text(enum pf_member_state s)
{
	static const char *const texts[] = {
#define DEF(name, text) text,
		PF_MEMBER_STATES(DEF)
#undef DEF
	};

	return s < PF_MEMBER_STATE_COUNT ? texts[s] : "";
}

void pf_member_opts_default(struct pf_member_opts *o)
{
	*o = (struct pf_member_opts){
		.members_max = 4096,
		.sessions_max = 96,
		.entries_per_agent = 6,
		.models_per_agent_max = 1024,
		.heartbeat_interval = 1000,
		.suspect_after_min = 1500,
		.suspect_after_max = 10000,
		.gone_after = 30000,
		.disconnect_delay = 60000,
		.pick_interval = 100,
	};
}

static bool opts_valid(const struct pf_member_opts *o)
{
	return o->self && o->zone && o->members_max && o->sessions_max &&
	       o->entries_per_agent && o->models_per_agent_max &&
	       o->heartbeat_interval > 0 && o->suspect_after_min > 0 &&
	       o->suspect_after_max >= o->suspect_after_min &&
	       o->gone_after >= o->suspect_after_max && o->pick_interval >= 0;
}

struct pf_member *pf_member_new(const struct pf_member_opts *o)
{
	struct pf_member *m;

	if (!opts_valid(o))
		return NULL;
	m = calloc(1, sizeof(*m));
	if (!m)
		return NULL;
	m->opts = *o;
	m->v = calloc(o->members_max, sizeof(*m->v));
	m->order = calloc(o->members_max, sizeof(*m->order));
	m->picked_at = PF_MEMBER_LONG_AGO;
	if (!m->v || !m->order || pf_map_init(&m->index, o->members_max) < 0) {
		pf_member_free(m);
		return NULL;
	}
	return m;
}

void pf_member_free(struct pf_member *m)
{
	if (!m)
		return;
	for (uint32_t i = 0; m->v && i < m->n; i++)
		free(m->v[i].models);
	free(m->v);
	free(m->order);
	free(m->models);
	free(m->covered);
	pf_map_free(&m->index);
	free(m);
}

void pf_member_emit(struct pf_member *m, enum pf_member_act_type type,
		    const struct pf_member_one *x)
{
	struct pf_member_act a = { .type = type, .id = x->id };

	a.u.state = x->state;
	a.u.incarnation = x->incarnation;
	m->sink->emit(m->sink->ctx, &a);
}

static struct pf_member_one *find(const struct pf_member *m, uint64_t id)
{
	uint32_t i;

	return pf_map_get(&m->index, pf_key1(id), &i) ? NULL : &m->v[i];
}

static void forget(struct pf_member *m, struct pf_member_one *x)
{
	pf_map_del(&m->index, pf_key1(x->id));
	free(x->models);
	memset(x, 0, sizeof(*x));
	m->stats.members--;
}

/* A slot for a new member: a fresh one, a free one, or a gone one's. */
static struct pf_member_one *slot(struct pf_member *m)
{
	struct pf_member_one *gone = NULL;

	PF_INVARIANT("members have memory", m->v);
	if (m->n < m->opts.members_max)
		return &m->v[m->n++];
	for (uint32_t i = 0; i < m->n; i++) {
		struct pf_member_one *x = &m->v[i];

		if (!x->id)
			return x;
		if (x->state == PF_MEMBER_GONE && !x->connected && !x->up)
			gone = x;
	}
	if (gone)
		forget(m, gone);
	else
		m->stats.table_full++;
	return gone;
}

static struct pf_member_one *get(struct pf_member *m, uint64_t id,
				 enum pf_member_role role)
{
	struct pf_member_one *x = find(m, id);

	if (x || !id || id == m->opts.self)
		return x;
	x = slot(m);
	if (!x)
		return NULL;
	x->id = id;
	x->role = role;
	x->state = PF_MEMBER_JOINING;
	x->heard_at = m->now;
	x->gap = (double)m->opts.heartbeat_interval;
	x->spread = (double)m->opts.heartbeat_interval / 4;
	(void)pf_map_put(&m->index, pf_key1(id), (uint32_t)(x - m->v));
	m->stats.members++;
	m->dirty = true;
	return x;
}

/* Silence after which a member is suspected. */
static pf_ms bound(const struct pf_member *m, const struct pf_member_one *x)
{
	pf_ms t = (pf_ms)(x->gap * MISSED + x->spread * DEVIATIONS);

	if (t < m->opts.suspect_after_min)
		return m->opts.suspect_after_min;
	return t < m->opts.suspect_after_max ? t : m->opts.suspect_after_max;
}

static enum pf_member_state judge(const struct pf_member *m,
				  const struct pf_member_one *x)
{
	pf_ms silent = m->now - x->heard_at;

	if (x->incarnation == 0) {
		if (!x->declared && !x->listed)
			return PF_MEMBER_GONE;
		return x->list_leaving ? PF_MEMBER_LEAVING : PF_MEMBER_JOINING;
	}
	/* One that the list has dropped needs no long silence. */
	if (!x->up &&
	    silent >= (m->list_seen && !x->listed ? bound(m, x)
						  : m->opts.gone_after))
		return PF_MEMBER_GONE;
	if (x->leaving || x->list_leaving)
		return PF_MEMBER_LEAVING;
	if (!x->up || silent > bound(m, x))
		return PF_MEMBER_SUSPECTED;
	return PF_MEMBER_LIVE;
}

static void settle(struct pf_member *m, struct pf_member_one *x)
{
	enum pf_member_state s = judge(m, x);
	bool counted =
		x->state != PF_MEMBER_LEAVING && x->state != PF_MEMBER_GONE;

	if (s == x->state)
		return;
	x->state = s;
	/* A suspect keeps its place: it mostly comes back. */
	if (counted != pf_member_counts(x))
		m->dirty = true;
	pf_member_emit(m, PF_MEMBER_STATE_CHANGED, x);
}

/*
 * Whether a message of @incarnation counts; a higher one is a new process,
 * to which older signs don't apply.
 */
static bool current(struct pf_member *m, struct pf_member_one *x,
		    uint64_t incarnation)
{
	if (incarnation < x->incarnation || incarnation == 0) {
		m->stats.stale_messages++;
#ifndef PF_MUTANT_MEMBER_OLD
		return false;
#endif
	}
	if (incarnation != x->incarnation) {
		x->incarnation = incarnation;
		x->leaving = false;
		x->heard_at = m->now;
		x->gap = (double)m->opts.heartbeat_interval;
		x->spread = (double)m->opts.heartbeat_interval / 4;
	}
	return true;
}

static void heard(struct pf_member *m, struct pf_member_one *x)
{
	double gap = (double)(m->now - x->heard_at);
	double off = gap > x->gap ? gap - x->gap : x->gap - gap;

	/* Messages in a burst say nothing of the heartbeat's rhythm. */
	if (gap * 4 >= (double)m->opts.heartbeat_interval) {
		x->spread += (off - x->spread) * SPREAD_WEIGHT;
		x->gap += (gap - x->gap) * GAP_WEIGHT;
	}
	x->heard_at = m->now;
}

static void on_up(struct pf_member *m, const struct pf_member_msg *msg)
{
	struct pf_member_one *x = get(m, msg->id, msg->u.session.role);

	if (!x || !current(m, x, msg->u.session.incarnation))
		return;
	x->up = true;
	x->heard_at = m->now;
	m->dirty = m->dirty || !pf_member_counts(x);
	settle(m, x);
}

static void on_beat(struct pf_member *m, const struct pf_member_msg *msg,
		    bool leaving)
{
	struct pf_member_one *x = find(m, msg->id);

	if (!x || !current(m, x, msg->u.session.incarnation))
		return;
	heard(m, x);
	x->leaving = x->leaving || leaving;
	settle(m, x);
}

static void on_down(struct pf_member *m, uint64_t id)
{
	struct pf_member_one *x = find(m, id);

	if (!x)
		return;
	x->up = false;
	m->dirty = m->dirty || !pf_member_counts(x);
	settle(m, x);
}

/* A member that neither list nor records nor a session know is dropped. */
static void sweep(struct pf_member *m)
{
	for (uint32_t i = 0; i < m->n; i++) {
		struct pf_member_one *x = &m->v[i];

		if (!x->id)
			continue;
		settle(m, x);
		if (x->state == PF_MEMBER_GONE && !x->declared && !x->listed &&
		    !x->up && !x->connected)
			forget(m, x);
	}
}

static void on_declare(struct pf_member *m, const struct pf_member_msg *msg)
{
	for (uint32_t i = 0; i < m->n; i++)
		m->v[i].declared = false;
	for (uint32_t i = 0; i < msg->u.nodes.n; i++) {
		const struct pf_member_node *node = &msg->u.nodes.v[i];
		struct pf_member_one *x = get(m, node->id, node->role);

		if (!x)
			continue;
		x->declared = true;
		x->role = node->role;
		x->zone = node->zone;
		x->region = node->region;
	}
	m->dirty = true;
	sweep(m);
}

/*
 * The list lags: its word "leaving" counts for the incarnation that is known
 * when it first says so; for a later one only while it still says so.
 */
static void listed(struct pf_member *m, struct pf_member_one *x,
		   const struct pf_member_node *node)
{
	m->dirty = m->dirty || node->leaving != x->list_leaving;
	if (node->leaving && !x->list_leaving && x->incarnation)
		x->leaving = true;
#ifdef PF_MUTANT_MEMBER_TAKEN_BACK
	if (!node->leaving)
		x->leaving = false;
#endif
	x->list_leaving = node->leaving;
	x->listed = true;
	if (x->declared)
		return;
	x->zone = node->zone;
	x->region = node->region;
}

static void on_list(struct pf_member *m, const struct pf_member_msg *msg)
{
	m->list_seen = true;
	for (uint32_t i = 0; i < m->n; i++)
		m->v[i].listed = false;
	for (uint32_t i = 0; i < msg->u.nodes.n; i++) {
		const struct pf_member_node *node = &msg->u.nodes.v[i];
		struct pf_member_one *x = get(m, node->id, node->role);

		if (x)
			listed(m, x, node);
	}
	for (uint32_t i = 0; i < m->n; i++)
		if (!m->v[i].listed)
			m->v[i].list_leaving = false;
	sweep(m);
}

static int by_id(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* A sorted copy of @ids; NULL without memory. */
static uint64_t *sorted(const uint64_t *ids, uint32_t n)
{
	uint64_t *v = malloc((n + 1) * sizeof(*v));

	if (!v)
		return NULL;
	if (n)
		memcpy(v, ids, n * sizeof(*v));
	qsort(v, n, sizeof(*v), by_id);
	return v;
}

static void on_holds(struct pf_member *m, const struct pf_member_msg *msg)
{
	struct pf_member_one *x = find(m, msg->id);
	uint32_t n = msg->u.models.n < m->opts.models_per_agent_max
			     ? msg->u.models.n
			     : m->opts.models_per_agent_max;
	uint64_t *v = x ? sorted(msg->u.models.ids, n) : NULL;

	if (!v)
		return;
	if (n == x->n_models &&
	    (n == 0 || memcmp(v, x->models, n * sizeof(*v)) == 0)) {
		free(v);
		return;
	}
	free(x->models);
	x->models = v;
	x->n_models = n;
	m->dirty = true;
}

static void on_models(struct pf_member *m, const struct pf_member_msg *msg)
{
	uint64_t *v = sorted(msg->u.models.ids, msg->u.models.n);
	bool *covered = calloc(msg->u.models.n + 1, sizeof(*covered));

	if (!v || !covered) {
		free(v);
		free(covered);
		return;
	}
	free(m->models);
	free(m->covered);
	m->models = v;
	m->covered = covered;
	m->n_models = msg->u.models.n;
	m->dirty = true;
}

static void handle(struct pf_member *m, const struct pf_member_msg *msg)
{
	switch (msg->type) {
	case PF_MEMBER_DECLARED_AGENTS:
		on_declare(m, msg);
		break;
	case PF_MEMBER_VM_LIST:
		on_list(m, msg);
		break;
	case PF_MEMBER_SESSION_UP:
		on_up(m, msg);
		break;
	case PF_MEMBER_SESSION_DOWN:
		on_down(m, msg->id);
		break;
	case PF_MEMBER_HEARTBEAT:
		on_beat(m, msg, false);
		break;
	case PF_MEMBER_LEAVE_NOTICE:
		on_beat(m, msg, true);
		break;
	case PF_MEMBER_AGENT_MODELS:
		on_holds(m, msg);
		break;
	case PF_MEMBER_DECLARED_MODELS:
		on_models(m, msg);
		break;
	case PF_MEMBER_TICK:
		break;
	}
}

void pf_member_step(struct pf_member *m, pf_ms now,
		    const struct pf_member_msg *msg,
		    const struct pf_member_sink *sink)
{
	if (now > m->now)
		m->now = now;
	m->sink = sink;
	handle(m, msg);
	if (m->now >= m->check_at) {
		m->check_at = m->now + CHECK_EVERY;
		sweep(m);
		pf_member_let_go(m);
	}
	if (m->dirty && m->now - m->picked_at >= m->opts.pick_interval)
		pf_member_pick(m);
	m->sink = NULL;
}

pf_ms pf_member_next(const struct pf_member *m)
{
	pf_ms pick = m->picked_at + m->opts.pick_interval;

	return m->dirty && pick < m->check_at ? pick : m->check_at;
}

enum pf_member_state pf_member_state(const struct pf_member *m, uint64_t id)
{
	const struct pf_member_one *x = find(m, id);

	return x ? x->state : PF_MEMBER_GONE;
}

bool pf_member_usable(const struct pf_member *m, uint64_t id)
{
	const struct pf_member_one *x = find(m, id);

	return x && x->up && x->state == PF_MEMBER_LIVE;
}

bool pf_member_awaits_list(const struct pf_member *m, uint64_t id)
{
	const struct pf_member_one *x = find(m, id);

	return x && x->state == PF_MEMBER_LEAVING && !x->leaving;
}

bool pf_member_covers_model(const struct pf_member *m, uint64_t model)
{
	uint32_t at;

	for (uint32_t i = 0; i < m->n; i++)
		if (m->v[i].wanted && pf_member_counts(&m->v[i]) &&
		    pf_member_find_model(m->v[i].models, m->v[i].n_models,
					 model, &at))
			return true;
	return false;
}

void pf_member_stats(const struct pf_member *m, struct pf_member_stats *s)
{
	*s = m->stats;
}
