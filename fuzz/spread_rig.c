/* Simulated network, table and clock for spread cores. */
#include "fuzz/spread_rig.h"

#include "pimentoford/heap.h"
#include "pimentoford/rows.h"
#include "pimentoford/text.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* TCP/IP headers, record mark, RPC call and batch of a message. */
#define MESSAGE_BYTES 140
/* An HTTP read of the table, without the rows of the reply. */
#define READ_BYTES 400
#define EVENTS_MIN 1024

enum event_type { EVENT_MESSAGE, EVENT_TICK, EVENT_TABLE };

struct event {
	enum event_type type;
	uint32_t to;
	uint32_t to_incarnation;
	uint32_t from;
	uint32_t from_incarnation;
	struct pf_spread_msg m;
	char *text; /* EVENT_MESSAGE: of m.u.config; owned */
	uint64_t after; /* EVENT_TABLE: the changes after this revision */
};

struct spread_rig {
	struct spread_rig_opts opts;
	struct pf_rng rng;
	pf_ms now;
	struct spread_rig_proc *procs;
	uint32_t n_procs;
	struct event *events; /* by heap slot */
	struct pf_heap heap;
	uint32_t *free_slots;
	uint32_t n_free_slots;
	char *sets[SPREAD_RIG_REVISIONS_MAX]; /* canonical text, by revision */
	char *audits[SPREAD_RIG_REVISIONS_MAX]; /* rows, by revision */
	uint64_t head_revision;
	uint64_t pruned_until; /* last deleted audit row */
	bool table_away;
	bool table_head_old;
	bool partitioned;
	struct spread_rig_stats stats;
	uint32_t current_proc; /* the process being stepped */
};

static void report_violation(struct spread_rig *g, const char *fmt, ...)
{
	va_list ap;

	if (g->stats.violations++)
		return;
	va_start(ap, fmt);
	vsnprintf(g->stats.first_violation, sizeof(g->stats.first_violation),
		  fmt, ap);
	va_end(ap);
}

static void step_proc(struct spread_rig *g, uint32_t i,
		      const struct pf_spread_msg *m);

static void grow_queue(struct spread_rig *g)
{
	uint32_t old = g->heap.cap;
	uint32_t cap = old ? old * 2 : EVENTS_MIN;
	struct pf_heap next;

	PF_INVARIANT("the rig has memory", pf_heap_init(&next, cap) == 0);
	for (uint32_t i = 0; i < g->heap.n; i++)
		pf_heap_set(&next, g->heap.slots[i],
			    g->heap.keys[g->heap.slots[i]]);
	pf_heap_free(&g->heap);
	g->heap = next;
	g->events = realloc(g->events, cap * sizeof(*g->events));
	g->free_slots = realloc(g->free_slots, cap * sizeof(*g->free_slots));
	PF_INVARIANT("the rig has memory", g->events && g->free_slots);
	for (uint32_t i = old; i < cap; i++)
		g->free_slots[g->n_free_slots++] = i;
}

static void push_event(struct spread_rig *g, pf_ms at, const struct event *e)
{
	uint32_t slot;

	if (g->n_free_slots == 0)
		grow_queue(g);
	slot = g->free_slots[--g->n_free_slots];
	g->events[slot] = *e;
	pf_heap_set(&g->heap, slot, at);
}

static void arm_timer(struct spread_rig *g, uint32_t i)
{
	struct spread_rig_proc *p = &g->procs[i];
	struct event e = { .type = EVENT_TICK,
			   .to = i,
			   .to_incarnation = p->incarnation };
	pf_ms at = pf_spread_next(p->core);

	if (at <= g->now)
		at = g->now + 1;
	if (p->tick_at > g->now && p->tick_at <= at)
		return;
	p->tick_at = at;
	push_event(g, at, &e);
}

static bool is_linked(const struct spread_rig *g, uint32_t a, uint32_t b)
{
	const struct spread_rig_proc *p = &g->procs[a];

	if (g->partitioned && p->region != g->procs[b].region)
		return false;
	for (uint32_t i = 0; i < p->n_links; i++)
		if (p->links[i] == b)
			return p->up && g->procs[b].up;
	return false;
}

static pf_ms random_delay(struct spread_rig *g, uint32_t a, uint32_t b)
{
	bool far = g->procs[a].region != g->procs[b].region;

	return (far ? g->opts.cross_region_delay : g->opts.region_delay) +
	       pf_rng_below(&g->rng, (uint32_t)g->opts.jitter + 1);
}

static uint32_t index_of(const struct spread_rig *g, uint64_t id)
{
	/* Ids are indexes plus 1. */
	return id >= 1 && id <= g->n_procs ? (uint32_t)id - 1 : 0;
}

static void send_message(struct spread_rig *g, const struct pf_spread_act *act)
{
	uint32_t to = index_of(g, act->peer);
	struct spread_rig_proc *p = &g->procs[g->current_proc];
	struct event e = { .type = EVENT_MESSAGE,
			   .to = to,
			   .to_incarnation = g->procs[to].incarnation,
			   .from = g->current_proc,
			   .from_incarnation = p->incarnation };
	size_t bytes = MESSAGE_BYTES;

	e.m.peer = p->id;
	if (act->type == PF_SPREAD_SEND_HEAD) {
		e.m.type = PF_SPREAD_HEAD;
		e.m.u.head = act->u.head;
	} else if (act->type == PF_SPREAD_SEND_PULL) {
		e.m.type = PF_SPREAD_PULL;
		e.m.u.revision = act->u.revision;
	} else {
		e.m.type = PF_SPREAD_CONFIG;
		e.m.u.config = act->u.config;
		bytes += act->u.config.text.n;
	}
	g->stats.messages++;
	p->bytes_out += bytes;
	if (p->region != g->procs[to].region)
		g->stats.cross_region_bytes += bytes;
	if (!is_linked(g, g->current_proc, to) ||
	    pf_rng_unit(&g->rng) < g->opts.loss_rate)
		return;
	g->procs[to].bytes_in += bytes;
	if (e.m.type == PF_SPREAD_CONFIG)
		e.text = pf_str_dup(act->u.config.text);
	push_event(g, g->now + random_delay(g, g->current_proc, to), &e);
}

static void read_table(struct spread_rig *g, const struct pf_spread_act *act)
{
	struct spread_rig_proc *p = &g->procs[g->current_proc];
	bool far = p->region != g->opts.table_region;
	struct event e = { .type = EVENT_TABLE,
			   .to = g->current_proc,
			   .to_incarnation = p->incarnation,
			   .m.seq = act->seq };

	g->stats.table_reads++;
	if (far)
		g->stats.cross_region_bytes += READ_BYTES;
	if (g->table_away || (far && g->partitioned))
		return;
	if (act->type == PF_SPREAD_READ_HEAD) {
		e.m.type = PF_SPREAD_TABLE_HEAD;
	} else if (act->type == PF_SPREAD_READ_CHANGES) {
		e.m.type = PF_SPREAD_TABLE_CHANGES;
		e.m.u.table.revision = act->u.changes.revision;
		e.after = act->u.changes.after;
	} else {
		e.m.type = PF_SPREAD_TABLE_SET;
	}
	push_event(g,
		   g->now + 2 + (far ? 2 * g->opts.cross_region_delay : 0) +
			   pf_rng_below(&g->rng, (uint32_t)g->opts.jitter + 1),
		   &e);
}

static void on_adopt(struct spread_rig *g, const struct pf_spread_act *act)
{
	struct spread_rig_proc *p = &g->procs[g->current_proc];
	uint64_t revision = act->u.adopt.revision;
	struct pf_text t = { 0 };

	if (revision <= p->adopted_revision)
		report_violation(g,
				 "process %u went from revision %llu to %llu",
				 g->current_proc,
				 (unsigned long long)p->adopted_revision,
				 (unsigned long long)revision);
	p->adopted_revision = revision;
	p->adopted_at = g->now;
	pf_records_text(act->u.adopt.set, &t);
	if (revision == 0 || revision > g->head_revision ||
	    !pf_str_eq(pf_text_str(&t), pf_str_c(g->sets[revision])))
		report_violation(
			g, "process %u adopted a set other than revision %llu",
			g->current_proc, (unsigned long long)revision);
	pf_text_free(&t);
}

static void on_act(void *ctx, const struct pf_spread_act *act)
{
	struct spread_rig *g = ctx;

	switch (act->type) {
	case PF_SPREAD_SEND_HEAD:
	case PF_SPREAD_SEND_PULL:
	case PF_SPREAD_SEND_CONFIG:
		send_message(g, act);
		break;
	case PF_SPREAD_READ_HEAD:
	case PF_SPREAD_READ_CHANGES:
	case PF_SPREAD_READ_SET:
		read_table(g, act);
		break;
	case PF_SPREAD_ADOPT:
		on_adopt(g, act);
		break;
	}
}

static void step_proc(struct spread_rig *g, uint32_t i,
		      const struct pf_spread_msg *m)
{
	struct pf_spread_sink sink = { on_act, g };

	g->current_proc = i;
	pf_spread_step(g->procs[i].core, g->now, m, &sink);
	arm_timer(g, i);
}

static void notify_peer(struct spread_rig *g, uint32_t to, uint32_t peer,
			bool up)
{
	struct pf_spread_msg m = { .type = up ? PF_SPREAD_PEER_UP
					      : PF_SPREAD_PEER_DOWN };

	m.peer = g->procs[peer].id;
	m.u.is_entry = g->procs[peer].is_entry;
	if (g->procs[to].up)
		step_proc(g, to, &m);
}

static struct pf_table_row *audit_rows(const struct spread_rig *g,
				       uint64_t after, uint64_t to, size_t *n)
{
	struct pf_table_row *v = calloc(SPREAD_RIG_REVISIONS_MAX, sizeof(*v));

	*n = 0;
	for (uint64_t r = after + 1; v && r <= to; r++)
		if (r > g->pruned_until)
			v[(*n)++].value = pf_str_c(g->audits[r]);
	return v;
}

static void reply_to_read(struct spread_rig *g, struct event *e)
{
	struct pf_table_row *rows = NULL;
	struct pf_records set = { 0 };
	struct pf_findings f = { 0 };

	e->m.u.table.status = PF_TABLE_OK;
	if (e->m.type == PF_SPREAD_TABLE_CHANGES) {
		rows = audit_rows(g, e->after, e->m.u.table.revision,
				  &e->m.u.table.n_rows);
		e->m.u.table.rows = rows;
	} else {
		e->m.u.table.revision =
			g->table_head_old && g->head_revision > 1
				? g->head_revision / 2
				: g->head_revision;
	}
	if (e->m.type == PF_SPREAD_TABLE_SET) {
		pf_records_parse(pf_str_c(g->sets[e->m.u.table.revision]),
				 "table", &set, &f);
		e->m.u.table.set = &set;
	}
	step_proc(g, e->to, &e->m);
	pf_records_free(&set);
	pf_findings_clear(&f);
	free(rows);
}

static void deliver_event(struct spread_rig *g, struct event *e)
{
	struct spread_rig_proc *p = &g->procs[e->to];
	struct pf_spread_msg tick = { .type = PF_SPREAD_TICK };

	if (!p->up || p->incarnation != e->to_incarnation)
		return;
	switch (e->type) {
	case EVENT_TICK:
		step_proc(g, e->to, &tick);
		break;
	case EVENT_TABLE:
		reply_to_read(g, e);
		break;
	case EVENT_MESSAGE:
		if (g->procs[e->from].incarnation != e->from_incarnation)
			return;
		if (e->m.type == PF_SPREAD_CONFIG)
			e->m.u.config.text = pf_str_c(e->text);
		step_proc(g, e->to, &e->m);
		break;
	}
}

void spread_rig_run(struct spread_rig *g, pf_ms until)
{
	uint32_t slot = 0;

	while (pf_heap_top(&g->heap, &slot) <= until) {
		pf_ms at = pf_heap_top(&g->heap, &slot);
		struct event e = g->events[slot];

		pf_heap_set(&g->heap, slot, PF_NEVER);
		g->free_slots[g->n_free_slots++] = slot;
		if (at > g->now)
			g->now = at;
		if (g->procs[e.to].paused_until > g->now) {
			push_event(g, g->procs[e.to].paused_until, &e);
			continue;
		}
		deliver_event(g, &e);
		free(e.text);
	}
	g->now = until;
}

/* Adds model @i to @t; its weight size is derived from @value. */
static void add_record(struct pf_text *t, uint32_t i, uint64_t value)
{
	pf_text_printf(t,
		       "[[model]]\nschema = 1\nname = \"model-%03u\"\n"
		       "version = \"1\"\nweights = \"%lluMiB\"\n"
		       "kv_token = \"64KiB\"\nmax_context = 32768\n\n",
		       i, (unsigned long long)value + 1);
}

static void parse_records(struct pf_str text, struct pf_records *out)
{
	struct pf_findings f = { 0 };

	if (pf_records_parse(text, "rig", out, &f) < 0) {
		fprintf(stderr, "rig: %s\n", f.v[0].text);
		abort();
	}
	pf_findings_clear(&f);
}

/* Audit row of @revision, which writes or deletes model @i. */
static char *make_audit(struct spread_rig *g, uint64_t revision, uint32_t i,
			bool deletes)
{
	struct pf_records one = { 0 };
	struct pf_text t = { 0 };
	char name[32];
	struct pf_audit_item item = { .kind = PF_KIND_MODEL, .name = name };
	struct pf_audit a = { .items = &item, .n_items = 1 };
	char *text;

	snprintf(name, sizeof(name), "model-%03u@1", i);
	add_record(&t, i, revision);
	parse_records(pf_text_str(&t), &one);
	item.name = one.v[0].name;
	if (!deletes)
		item.after = one.v[0].text;
	a.stamp.revision = revision;
	snprintf(a.stamp.change, sizeof(a.stamp.change), "c-%llu",
		 (unsigned long long)revision);
	snprintf(a.stamp.who, sizeof(a.stamp.who), "rig");
	snprintf(a.region, sizeof(a.region), "r");
	snprintf(a.what, sizeof(a.what), "apply");
	text = pf_row_audit_text(&a);
	(void)g;
	pf_records_free(&one);
	pf_text_free(&t);
	return text;
}

uint64_t spread_rig_accept(struct spread_rig *g, uint32_t acceptor)
{
	struct pf_spread_msg committed = { .type = PF_SPREAD_COMMITTED };
	uint32_t i = pf_rng_below(&g->rng, g->opts.records);
	bool deletes = pf_rng_below(&g->rng, 4) == 0;
	uint64_t r = g->head_revision + 1;
	struct pf_records set = { 0 };
	struct pf_text t = { 0 };
	struct pf_records one = { 0 };

	PF_INVARIANT("the rig has revisions", r < SPREAD_RIG_REVISIONS_MAX);
	parse_records(pf_str_c(g->sets[g->head_revision]), &set);
	add_record(&t, i, r);
	parse_records(pf_text_str(&t), &one);
	/* Model 0 is never deleted, so that the set isn't empty. */
	deletes = deletes && i > 0;
	pf_records_del(&set, PF_KIND_MODEL, pf_str_c(one.v[0].name));
	if (!deletes)
		pf_records_put(&set, &one.v[0]);
	g->audits[r] = make_audit(g, r, i, deletes);
	pf_text_reset(&t);
	pf_records_text(&set, &t);
	g->sets[r] = pf_text_take(&t);
	g->head_revision = r;
	pf_records_free(&set);
	pf_records_free(&one);
	committed.u.revision = r;
	if (acceptor < g->n_procs && g->procs[acceptor].up &&
	    g->procs[acceptor].paused_until <= g->now)
		step_proc(g, acceptor, &committed);
	return r;
}

struct spread_rig *spread_rig_new(const struct spread_rig_opts *o)
{
	struct spread_rig *g = calloc(1, sizeof(*g));
	struct pf_records set = { 0 };
	struct pf_text t = { 0 };

	PF_INVARIANT("the rig has memory", g);
	g->opts = *o;
	pf_rng_seed(&g->rng, o->seed);
	g->procs = calloc(o->procs_max, sizeof(*g->procs));
	PF_INVARIANT("the rig has memory", g->procs);
	g->sets[0] = strdup("");
	for (uint32_t i = 0; i < o->records; i++)
		add_record(&t, i, 1);
	parse_records(pf_text_str(&t), &set);
	pf_text_reset(&t);
	pf_records_text(&set, &t);
	g->sets[1] = pf_text_take(&t);
	/* Revision 1 has no audit row: it must be read as a full set. */
	g->audits[1] = make_audit(g, 1, 0, false);
	g->head_revision = 1;
	g->pruned_until = 1;
	pf_records_free(&set);
	return g;
}

void spread_rig_free(struct spread_rig *g)
{
	uint32_t slot = 0;

	while (pf_heap_top(&g->heap, &slot) != PF_NEVER) {
		free(g->events[slot].text);
		pf_heap_set(&g->heap, slot, PF_NEVER);
	}
	for (uint32_t i = 0; i < g->n_procs; i++) {
		pf_spread_free(g->procs[i].core);
		free(g->procs[i].links);
		free(g->procs[i].members);
	}
	for (uint32_t i = 0; i < SPREAD_RIG_REVISIONS_MAX; i++) {
		free(g->sets[i]);
		free(g->audits[i]);
	}
	pf_heap_free(&g->heap);
	free(g->events);
	free(g->free_slots);
	free(g->procs);
	free(g);
}

static void send_members(struct spread_rig *g, uint32_t i)
{
	struct pf_spread_msg m = { .type = PF_SPREAD_MEMBERS };
	struct spread_rig_proc *p = &g->procs[i];

	m.u.members.ids = p->members;
	m.u.members.n_ids = p->n_members;
	if (p->up && p->members)
		step_proc(g, i, &m);
}

void spread_rig_restart(struct spread_rig *g, uint32_t i)
{
	struct spread_rig_proc *p = &g->procs[i];
	struct pf_spread_opts o = g->opts.core;

	spread_rig_kill(g, i);
	o.self = p->id;
	o.region = p->region + 1;
	o.seed = pf_id2(g->opts.seed, pf_id2(p->id, p->incarnation));
	o.is_entry = p->is_entry;
	p->core = pf_spread_new(&o, g->now);
	PF_INVARIANT("the rig has memory", p->core);
	p->up = true;
	p->adopted_revision = 0;
	p->tick_at = 0;
	p->paused_until = 0;
	arm_timer(g, i);
	send_members(g, i);
	for (uint32_t k = 0; k < p->n_links; k++) {
		if (!is_linked(g, i, p->links[k]))
			continue;
		notify_peer(g, i, p->links[k], true);
		notify_peer(g, p->links[k], i, true);
	}
}

void spread_rig_kill(struct spread_rig *g, uint32_t i)
{
	struct spread_rig_proc *p = &g->procs[i];

	if (!p->up)
		return;
	p->up = false;
	p->incarnation++;
	pf_spread_free(p->core);
	p->core = NULL;
	for (uint32_t k = 0; k < p->n_links; k++)
		notify_peer(g, p->links[k], i, false);
}

uint32_t spread_rig_add_proc(struct spread_rig *g, uint32_t region, bool entry)
{
	uint32_t i = g->n_procs++;

	PF_INVARIANT("the rig has room", i < g->opts.procs_max);
	g->procs[i].id = i + 1;
	g->procs[i].region = region;
	g->procs[i].is_entry = entry;
	spread_rig_restart(g, i);
	return i;
}

static void add_link(struct spread_rig_proc *p, uint32_t to)
{
	if (p->n_links == p->cap_links) {
		p->cap_links = p->cap_links ? p->cap_links * 2 : 8;
		p->links = realloc(p->links, p->cap_links * sizeof(*p->links));
		PF_INVARIANT("the rig has memory", p->links);
	}
	p->links[p->n_links++] = to;
}

void spread_rig_link(struct spread_rig *g, uint32_t a, uint32_t b)
{
	if (a == b || is_linked(g, a, b))
		return;
	add_link(&g->procs[a], b);
	add_link(&g->procs[b], a);
	notify_peer(g, a, b, true);
	notify_peer(g, b, a, true);
}

void spread_rig_set_members(struct spread_rig *g, uint32_t i,
			    const uint64_t *ids, uint32_t n)
{
	struct spread_rig_proc *p = &g->procs[i];

	free(p->members);
	p->members = calloc(n, sizeof(*ids));
	PF_INVARIANT("the rig has memory", p->members);
	memcpy(p->members, ids, n * sizeof(*ids));
	p->n_members = n;
	send_members(g, i);
}

void spread_rig_set_partition(struct spread_rig *g, bool partitioned)
{
	if (g->partitioned == partitioned)
		return;
	g->partitioned = partitioned;
	for (uint32_t i = 0; i < g->n_procs; i++) {
		struct spread_rig_proc *p = &g->procs[i];

		for (uint32_t k = 0; p->up && k < p->n_links; k++) {
			const struct spread_rig_proc *q =
				&g->procs[p->links[k]];

			if (q->up && q->region != p->region)
				notify_peer(g, i, p->links[k], !partitioned);
		}
	}
}

void spread_rig_set_table(struct spread_rig *g, bool away, bool old_head)
{
	g->table_away = away;
	g->table_head_old = old_head;
}

void spread_rig_prune_audits(struct spread_rig *g)
{
	g->pruned_until = g->head_revision;
}

void spread_rig_inject(struct spread_rig *g, uint32_t from, uint32_t to,
		       const struct pf_spread_msg *m)
{
	struct pf_spread_msg copy = *m;

	copy.peer = g->procs[from].id;
	if (g->procs[to].up)
		step_proc(g, to, &copy);
}

struct spread_rig_proc *spread_rig_proc(struct spread_rig *g, uint32_t i)
{
	return &g->procs[i];
}

uint32_t spread_rig_count(const struct spread_rig *g)
{
	return g->n_procs;
}

uint64_t spread_rig_head_revision(const struct spread_rig *g)
{
	return g->head_revision;
}

pf_ms spread_rig_now(const struct spread_rig *g)
{
	return g->now;
}

bool spread_rig_converged(const struct spread_rig *g)
{
	for (uint32_t i = 0; i < g->n_procs; i++)
		if (g->procs[i].up &&
		    g->procs[i].adopted_revision != g->head_revision)
			return false;
	return true;
}

const struct spread_rig_stats *spread_rig_stats(const struct spread_rig *g)
{
	return &g->stats;
}
