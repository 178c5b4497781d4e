/* Membership core: states, incarnations and heartbeats. */
#include "pimentoford/member.h"

#include "src/coordination/member_internal.h"

#include <stdlib.h>
#include <string.h>

/* Weights of a new heartbeat gap in the moving averages. */
#define GAP_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
/* The suspect timeout: mean deviations and mean gaps. */
#define SUSPECT_DEVIATIONS 6
#define SUSPECT_MISSED_HEARTBEATS 3
#define CHECK_INTERVAL_MS 250

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
	m->peers = calloc(o->members_max, sizeof(*m->peers));
	m->candidates = calloc(o->members_max, sizeof(*m->candidates));
	m->last_pick_at = PF_MEMBER_NEVER_PICKED;
	if (!m->peers || !m->candidates ||
	    pf_map_init(&m->index_by_id, o->members_max) < 0) {
		pf_member_free(m);
		return NULL;
	}
	return m;
}

void pf_member_free(struct pf_member *m)
{
	if (!m)
		return;
	for (uint32_t i = 0; m->peers && i < m->n_slots; i++)
		free(m->peers[i].models);
	free(m->peers);
	free(m->candidates);
	free(m->declared_models);
	free(m->covered);
	pf_map_free(&m->index_by_id);
	free(m);
}

void pf_member_emit(struct pf_member *m, enum pf_member_act_type type,
		    const struct pf_member_peer *p)
{
	struct pf_member_act a = { .type = type, .id = p->id };

	a.u.state = p->state;
	a.u.incarnation = p->incarnation;
	m->sink->emit(m->sink->ctx, &a);
}

static struct pf_member_peer *find_peer(const struct pf_member *m, uint64_t id)
{
	uint32_t i;

	return pf_map_get(&m->index_by_id, pf_key1(id), &i) ? NULL
							    : &m->peers[i];
}

static void remove_peer(struct pf_member *m, struct pf_member_peer *p)
{
	pf_map_del(&m->index_by_id, pf_key1(p->id));
	free(p->models);
	memset(p, 0, sizeof(*p));
	m->stats.members--;
}

/* Returns a free slot, else that of a gone member; NULL when full. */
static struct pf_member_peer *alloc_peer(struct pf_member *m)
{
	struct pf_member_peer *gone = NULL;

	PF_INVARIANT("member slots are allocated", m->peers);
	if (m->n_slots < m->opts.members_max)
		return &m->peers[m->n_slots++];
	for (uint32_t i = 0; i < m->n_slots; i++) {
		struct pf_member_peer *p = &m->peers[i];

		if (!p->id)
			return p;
		if (p->state == PF_MEMBER_GONE && !p->connect_requested &&
		    !p->session_up)
			gone = p;
	}
	if (gone)
		remove_peer(m, gone);
	else
		m->stats.members_refused++;
	return gone;
}

static struct pf_member_peer *find_or_add_peer(struct pf_member *m, uint64_t id,
					       enum pf_member_role role)
{
	struct pf_member_peer *p = find_peer(m, id);

	if (p || !id || id == m->opts.self)
		return p;
	p = alloc_peer(m);
	if (!p)
		return NULL;
	p->id = id;
	p->role = role;
	p->state = PF_MEMBER_JOINING;
	p->last_seen_at = m->now;
	p->mean_gap_ms = (double)m->opts.heartbeat_interval;
	p->gap_deviation_ms = (double)m->opts.heartbeat_interval / 4;
	(void)pf_map_put(&m->index_by_id, pf_key1(id),
			 (uint32_t)(p - m->peers));
	m->stats.members++;
	m->pick_needed = true;
	return p;
}

/* Silence after which @p is suspected, from its measured heartbeats. */
static pf_ms suspect_timeout(const struct pf_member *m,
			     const struct pf_member_peer *p)
{
	pf_ms t = (pf_ms)(p->mean_gap_ms * SUSPECT_MISSED_HEARTBEATS +
			  p->gap_deviation_ms * SUSPECT_DEVIATIONS);

	if (t < m->opts.suspect_after_min)
		return m->opts.suspect_after_min;
	return t < m->opts.suspect_after_max ? t : m->opts.suspect_after_max;
}

static enum pf_member_state compute_state(const struct pf_member *m,
					  const struct pf_member_peer *p)
{
	pf_ms silent = m->now - p->last_seen_at;

	if (p->incarnation == 0) {
		if (!p->declared && !p->listed)
			return PF_MEMBER_GONE;
		return p->listed_leaving ? PF_MEMBER_LEAVING
					 : PF_MEMBER_JOINING;
	}
	/* Gone sooner if the list has dropped it. */
	if (!p->session_up &&
	    silent >= (m->list_received && !p->listed ? suspect_timeout(m, p)
						      : m->opts.gone_after))
		return PF_MEMBER_GONE;
	if (p->leaving || p->listed_leaving)
		return PF_MEMBER_LEAVING;
	if (!p->session_up || silent > suspect_timeout(m, p))
		return PF_MEMBER_SUSPECTED;
	return PF_MEMBER_LIVE;
}

static void update_state(struct pf_member *m, struct pf_member_peer *p)
{
	enum pf_member_state s = compute_state(m, p);
	bool was_active =
		p->state != PF_MEMBER_LEAVING && p->state != PF_MEMBER_GONE;

	if (s == p->state)
		return;
	p->state = s;
	/* Suspicion triggers no new pick: most suspects recover. */
	if (was_active != pf_member_is_active(p))
		m->pick_needed = true;
	pf_member_emit(m, PF_MEMBER_STATE_CHANGED, p);
}

/*
 * Whether a message of @incarnation is current. A higher one is a new process,
 * to which earlier leave notices don't apply.
 */
static bool accept_incarnation(struct pf_member *m, struct pf_member_peer *p,
			       uint64_t incarnation)
{
	if (incarnation < p->incarnation || incarnation == 0) {
		m->stats.stale_messages++;
#ifndef PF_MUTANT_MEMBER_OLD
		return false;
#endif
	}
	if (incarnation != p->incarnation) {
		p->incarnation = incarnation;
		p->leaving = false;
		p->last_seen_at = m->now;
		p->mean_gap_ms = (double)m->opts.heartbeat_interval;
		p->gap_deviation_ms = (double)m->opts.heartbeat_interval / 4;
	}
	return true;
}

static void record_heartbeat(struct pf_member *m, struct pf_member_peer *p)
{
	double gap = (double)(m->now - p->last_seen_at);
	double deviation = gap > p->mean_gap_ms ? gap - p->mean_gap_ms
						: p->mean_gap_ms - gap;

	/* Messages in a burst say nothing about the heartbeat interval. */
	if (gap * 4 >= (double)m->opts.heartbeat_interval) {
		p->gap_deviation_ms +=
			(deviation - p->gap_deviation_ms) * DEVIATION_WEIGHT;
		p->mean_gap_ms += (gap - p->mean_gap_ms) * GAP_WEIGHT;
	}
	p->last_seen_at = m->now;
}

static void on_session_up(struct pf_member *m, const struct pf_member_msg *msg)
{
	struct pf_member_peer *p =
		find_or_add_peer(m, msg->id, msg->u.session.role);

	if (!p || !accept_incarnation(m, p, msg->u.session.incarnation))
		return;
	p->session_up = true;
	p->last_seen_at = m->now;
	m->pick_needed = m->pick_needed || !pf_member_is_active(p);
	update_state(m, p);
}

static void on_heartbeat(struct pf_member *m, const struct pf_member_msg *msg,
			 bool leaving)
{
	struct pf_member_peer *p = find_peer(m, msg->id);

	if (!p || !accept_incarnation(m, p, msg->u.session.incarnation))
		return;
	record_heartbeat(m, p);
	p->leaving = p->leaving || leaving;
	update_state(m, p);
}

static void on_session_down(struct pf_member *m, uint64_t id)
{
	struct pf_member_peer *p = find_peer(m, id);

	if (!p)
		return;
	p->session_up = false;
	m->pick_needed = m->pick_needed || !pf_member_is_active(p);
	update_state(m, p);
}

/* Updates all states; removes gone members that nothing refers to. */
static void update_all(struct pf_member *m)
{
	for (uint32_t i = 0; i < m->n_slots; i++) {
		struct pf_member_peer *p = &m->peers[i];

		if (!p->id)
			continue;
		update_state(m, p);
		if (p->state == PF_MEMBER_GONE && !p->declared && !p->listed &&
		    !p->session_up && !p->connect_requested)
			remove_peer(m, p);
	}
}

static void on_declared_agents(struct pf_member *m,
			       const struct pf_member_msg *msg)
{
	for (uint32_t i = 0; i < m->n_slots; i++)
		m->peers[i].declared = false;
	for (uint32_t i = 0; i < msg->u.nodes.n; i++) {
		const struct pf_member_node *node = &msg->u.nodes.v[i];
		struct pf_member_peer *p =
			find_or_add_peer(m, node->id, node->role);

		if (!p)
			continue;
		p->declared = true;
		p->role = node->role;
		p->zone = node->zone;
		p->region = node->region;
	}
	m->pick_needed = true;
	update_all(m);
}

/*
 * The list lags: when it turns to "leaving", that holds for good for the
 * incarnation known then, but for a later one only while the list says so.
 */
static void apply_list_node(struct pf_member *m, struct pf_member_peer *p,
			    const struct pf_member_node *node)
{
	m->pick_needed = m->pick_needed || node->leaving != p->listed_leaving;
	if (node->leaving && !p->listed_leaving && p->incarnation)
		p->leaving = true;
#ifdef PF_MUTANT_MEMBER_TAKEN_BACK
	if (!node->leaving)
		p->leaving = false;
#endif
	p->listed_leaving = node->leaving;
	p->listed = true;
	if (p->declared)
		return;
	p->zone = node->zone;
	p->region = node->region;
}

static void on_vm_list(struct pf_member *m, const struct pf_member_msg *msg)
{
	m->list_received = true;
	for (uint32_t i = 0; i < m->n_slots; i++)
		m->peers[i].listed = false;
	for (uint32_t i = 0; i < msg->u.nodes.n; i++) {
		const struct pf_member_node *node = &msg->u.nodes.v[i];
		struct pf_member_peer *p =
			find_or_add_peer(m, node->id, node->role);

		if (p)
			apply_list_node(m, p, node);
	}
	for (uint32_t i = 0; i < m->n_slots; i++)
		if (!m->peers[i].listed)
			m->peers[i].listed_leaving = false;
	update_all(m);
}

static int compare_ids(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* Returns a sorted copy of @ids, owned by the caller; NULL: no memory. */
static uint64_t *sorted_copy(const uint64_t *ids, uint32_t n)
{
	uint64_t *v = malloc((n + 1) * sizeof(*v));

	if (!v)
		return NULL;
	if (n)
		memcpy(v, ids, n * sizeof(*v));
	qsort(v, n, sizeof(*v), compare_ids);
	return v;
}

static void on_agent_models(struct pf_member *m,
			    const struct pf_member_msg *msg)
{
	struct pf_member_peer *p = find_peer(m, msg->id);
	uint32_t n = msg->u.models.n < m->opts.models_per_agent_max
			     ? msg->u.models.n
			     : m->opts.models_per_agent_max;
	uint64_t *v = p ? sorted_copy(msg->u.models.ids, n) : NULL;

	if (!v)
		return;
	if (n == p->n_models &&
	    (n == 0 || memcmp(v, p->models, n * sizeof(*v)) == 0)) {
		free(v);
		return;
	}
	free(p->models);
	p->models = v;
	p->n_models = n;
	m->pick_needed = true;
}

static void on_declared_models(struct pf_member *m,
			       const struct pf_member_msg *msg)
{
	uint64_t *v = sorted_copy(msg->u.models.ids, msg->u.models.n);
	bool *covered = calloc(msg->u.models.n + 1, sizeof(*covered));

	if (!v || !covered) {
		free(v);
		free(covered);
		return;
	}
	free(m->declared_models);
	free(m->covered);
	m->declared_models = v;
	m->covered = covered;
	m->n_declared_models = msg->u.models.n;
	m->pick_needed = true;
}

static void handle_message(struct pf_member *m, const struct pf_member_msg *msg)
{
	switch (msg->type) {
	case PF_MEMBER_DECLARED_AGENTS:
		on_declared_agents(m, msg);
		break;
	case PF_MEMBER_VM_LIST:
		on_vm_list(m, msg);
		break;
	case PF_MEMBER_SESSION_UP:
		on_session_up(m, msg);
		break;
	case PF_MEMBER_SESSION_DOWN:
		on_session_down(m, msg->id);
		break;
	case PF_MEMBER_HEARTBEAT:
		on_heartbeat(m, msg, false);
		break;
	case PF_MEMBER_LEAVE_NOTICE:
		on_heartbeat(m, msg, true);
		break;
	case PF_MEMBER_AGENT_MODELS:
		on_agent_models(m, msg);
		break;
	case PF_MEMBER_DECLARED_MODELS:
		on_declared_models(m, msg);
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
	handle_message(m, msg);
	if (m->now >= m->next_check_at) {
		m->next_check_at = m->now + CHECK_INTERVAL_MS;
		update_all(m);
		pf_member_drop_unpicked(m);
	}
	if (m->pick_needed && m->now - m->last_pick_at >= m->opts.pick_interval)
		pf_member_pick_agents(m);
	m->sink = NULL;
}

pf_ms pf_member_next(const struct pf_member *m)
{
	pf_ms pick = m->last_pick_at + m->opts.pick_interval;

	return m->pick_needed && pick < m->next_check_at ? pick
							 : m->next_check_at;
}

enum pf_member_state pf_member_state(const struct pf_member *m, uint64_t id)
{
	const struct pf_member_peer *p = find_peer(m, id);

	return p ? p->state : PF_MEMBER_GONE;
}

bool pf_member_usable(const struct pf_member *m, uint64_t id)
{
	const struct pf_member_peer *p = find_peer(m, id);

	return p && p->session_up && p->state == PF_MEMBER_LIVE;
}

bool pf_member_awaits_list(const struct pf_member *m, uint64_t id)
{
	const struct pf_member_peer *p = find_peer(m, id);

	return p && p->state == PF_MEMBER_LEAVING && !p->leaving;
}

bool pf_member_covers_model(const struct pf_member *m, uint64_t model)
{
	uint32_t at;

	for (uint32_t i = 0; i < m->n_slots; i++)
		if (m->peers[i].picked && pf_member_is_active(&m->peers[i]) &&
		    pf_member_find_model(m->peers[i].models,
					 m->peers[i].n_models, model, &at))
			return true;
	return false;
}

void pf_member_stats(const struct pf_member *m, struct pf_member_stats *s)
{
	*s = m->stats;
}
