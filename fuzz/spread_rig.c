/* Spread cores around one table in virtual time. */
#include "fuzz/spread_rig.h"

#include "pimentoford/heap.h"
#include "pimentoford/rows.h"
#include "pimentoford/text.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A message with its frame: TCP/IP, record mark, call, batch, body. */
#define MESSAGE_BYTES 140
/* A read of the table: HTTP request and answer without the rows. */
#define READ_BYTES 400
#define EVENTS_MIN 1024

enum event_type { EVENT_MESSAGE, EVENT_TICK, EVENT_TABLE };

struct event {
	enum event_type type;
	uint32_t to;
	uint32_t to_life;
	uint32_t from;
	uint32_t from_life;
	struct pf_spread_msg m;
	char *text; /* of a configuration; owned */
	uint64_t after; /* EVENT_TABLE: of changes */
};

struct spread_rig {
	struct spread_rig_opts o;
	struct pf_rng rng;
	pf_ms now;
	struct spread_rig_proc *procs;
	uint32_t n;
	struct event *events; /* by slot of the heap */
	struct pf_heap heap;
	uint32_t *unused;
	uint32_t n_unused;
	char *sets[SPREAD_RIG_REVISIONS]; /* canonical text, by revision */
	char *audits[SPREAD_RIG_REVISIONS];
	uint64_t head;
	uint64_t pruned;
	bool away;
	bool head_back;
	bool apart;
	struct spread_rig_stats stats;
	uint32_t stepping; /* the process whose acts come */
};

static void violation(struct spread_rig *g, const char *fmt, ...)
{
	va_list ap;

	if (g->stats.violations++)
		return;
	va_start(ap, fmt);
	vsnprintf(g->stats.what, sizeof(g->stats.what), fmt, ap);
	va_end(ap);
}

static void step(struct spread_rig *g, uint32_t i,
		 const struct pf_spread_msg *m);

static void grow(struct spread_rig *g)
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
	g->unused = realloc(g->unused, cap * sizeof(*g->unused));
	PF_INVARIANT("the rig has memory", g->events && g->unused);
	for (uint32_t i = old; i < cap; i++)
		g->unused[g->n_unused++] = i;
}

static void post(struct spread_rig *g, pf_ms at, const struct event *e)
{
	uint32_t slot;

	if (g->n_unused == 0)
		grow(g);
	slot = g->unused[--g->n_unused];
	g->events[slot] = *e;
	pf_heap_set(&g->heap, slot, at);
}

static void arm(struct spread_rig *g, uint32_t i)
{
	struct spread_rig_proc *p = &g->procs[i];
	struct event e = { .type = EVENT_TICK, .to = i, .to_life = p->life };
	pf_ms at = pf_spread_next(p->core);

	if (at <= g->now)
		at = g->now + 1;
	if (p->tick_at > g->now && p->tick_at <= at)
		return;
	p->tick_at = at;
	post(g, at, &e);
}

static bool linked(const struct spread_rig *g, uint32_t a, uint32_t b)
{
	const struct spread_rig_proc *p = &g->procs[a];

	if (g->apart && p->region != g->procs[b].region)
		return false;
	for (uint32_t i = 0; i < p->n_links; i++)
		if (p->links[i] == b)
			return p->up && g->procs[b].up;
	return false;
}

static pf_ms delay(struct spread_rig *g, uint32_t a, uint32_t b)
{
	bool far = g->procs[a].region != g->procs[b].region;

	return (far ? g->o.region_ms : g->o.zone_ms) +
	       pf_rng_below(&g->rng, (uint32_t)g->o.jitter + 1);
}

static uint32_t index_of(const struct spread_rig *g, uint64_t id)
{
	/* Ids are numbers from 1 on. */
	return id >= 1 && id <= g->n ? (uint32_t)id - 1 : 0;
}

static void send(struct spread_rig *g, const struct pf_spread_act *act)
{
	uint32_t to = index_of(g, act->peer);
	struct spread_rig_proc *p = &g->procs[g->stepping];
	struct event e = { .type = EVENT_MESSAGE,
			   .to = to,
			   .to_life = g->procs[to].life,
			   .from = g->stepping,
			   .from_life = p->life };
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
		g->stats.link_bytes += bytes;
	if (!linked(g, g->stepping, to) || pf_rng_unit(&g->rng) < g->o.loss)
		return;
	g->procs[to].bytes_in += bytes;
	if (e.m.type == PF_SPREAD_CONFIG)
		e.text = pf_str_dup(act->u.config.text);
	post(g, g->now + delay(g, g->stepping, to), &e);
}

static void ask_table(struct spread_rig *g, const struct pf_spread_act *act)
{
	struct spread_rig_proc *p = &g->procs[g->stepping];
	bool far = p->region != g->o.table_region;
	struct event e = { .type = EVENT_TABLE,
			   .to = g->stepping,
			   .to_life = p->life,
			   .m.seq = act->seq };

	g->stats.reads++;
	if (far)
		g->stats.link_bytes += READ_BYTES;
	if (g->away || (far && g->apart))
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
	post(g,
	     g->now + 2 + (far ? 2 * g->o.region_ms : 0) +
		     pf_rng_below(&g->rng, (uint32_t)g->o.jitter + 1),
	     &e);
}

static void on_adopt(struct spread_rig *g, const struct pf_spread_act *act)
{
	struct spread_rig_proc *p = &g->procs[g->stepping];
	uint64_t revision = act->u.adopt.revision;
	struct pf_text t = { 0 };

	if (revision <= p->adopted)
		violation(g, "process %u went from %llu to %llu", g->stepping,
			  (unsigned long long)p->adopted,
			  (unsigned long long)revision);
	p->adopted = revision;
	p->adopted_at = g->now;
	pf_records_text(act->u.adopt.set, &t);
	if (revision == 0 || revision > g->head ||
	    !pf_str_eq(pf_text_str(&t), pf_str_c(g->sets[revision])))
		violation(g, "process %u adopted a set that is not %llu",
			  g->stepping, (unsigned long long)revision);
	pf_text_free(&t);
}

static void emit(void *ctx, const struct pf_spread_act *act)
{
	struct spread_rig *g = ctx;

	switch (act->type) {
	case PF_SPREAD_SEND_HEAD:
	case PF_SPREAD_SEND_PULL:
	case PF_SPREAD_SEND_CONFIG:
		send(g, act);
		break;
	case PF_SPREAD_READ_HEAD:
	case PF_SPREAD_READ_CHANGES:
	case PF_SPREAD_READ_SET:
		ask_table(g, act);
		break;
	case PF_SPREAD_ADOPT:
		on_adopt(g, act);
		break;
	}
}

static void step(struct spread_rig *g, uint32_t i,
		 const struct pf_spread_msg *m)
{
	struct pf_spread_sink sink = { emit, g };

	g->stepping = i;
	pf_spread_step(g->procs[i].core, g->now, m, &sink);
	arm(g, i);
}

static void tell_peer(struct spread_rig *g, uint32_t to, uint32_t peer, bool up)
{
	struct pf_spread_msg m = { .type = up ? PF_SPREAD_PEER_UP
					      : PF_SPREAD_PEER_DOWN };

	m.peer = g->procs[peer].id;
	m.u.is_entry = g->procs[peer].entry;
	if (g->procs[to].up)
		step(g, to, &m);
}

static struct pf_table_row *audit_rows(const struct spread_rig *g,
				       uint64_t after, uint64_t to, size_t *n)
{
	struct pf_table_row *v = calloc(SPREAD_RIG_REVISIONS, sizeof(*v));

	*n = 0;
	for (uint64_t r = after + 1; v && r <= to; r++)
		if (r > g->pruned)
			v[(*n)++].value = pf_str_c(g->audits[r]);
	return v;
}

static void answer(struct spread_rig *g, struct event *e)
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
			g->head_back && g->head > 1 ? g->head / 2 : g->head;
	}
	if (e->m.type == PF_SPREAD_TABLE_SET) {
		pf_records_parse(pf_str_c(g->sets[e->m.u.table.revision]),
				 "table", &set, &f);
		e->m.u.table.set = &set;
	}
	step(g, e->to, &e->m);
	pf_records_free(&set);
	pf_findings_clear(&f);
	free(rows);
}

static void deliver(struct spread_rig *g, struct event *e)
{
	struct spread_rig_proc *p = &g->procs[e->to];
	struct pf_spread_msg tick = { .type = PF_SPREAD_TICK };

	if (!p->up || p->life != e->to_life)
		return;
	switch (e->type) {
	case EVENT_TICK:
		step(g, e->to, &tick);
		break;
	case EVENT_TABLE:
		answer(g, e);
		break;
	case EVENT_MESSAGE:
		if (g->procs[e->from].life != e->from_life)
			return;
		if (e->m.type == PF_SPREAD_CONFIG)
			e->m.u.config.text = pf_str_c(e->text);
		step(g, e->to, &e->m);
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
		g->unused[g->n_unused++] = slot;
		if (at > g->now)
			g->now = at;
		if (g->procs[e.to].paused_until > g->now) {
			post(g, g->procs[e.to].paused_until, &e);
			continue;
		}
		deliver(g, &e);
		free(e.text);
	}
	g->now = until;
}

/* A record of the rig's set; @value tells its versions apart. */
static void add_record(struct pf_text *t, uint32_t i, uint64_t value)
{
	pf_text_printf(t,
		       "[[model]]\nschema = 1\nname = \"model-%03u\"\n"
		       "version = \"1\"\nweights = \"%lluMiB\"\n"
		       "kv_token = \"64KiB\"\nmax_context = 32768\n\n",
		       i, (unsigned long long)value + 1);
}

static void parse(struct pf_str text, struct pf_records *out)
{
	struct pf_findings f = { 0 };

	if (pf_records_parse(text, "rig", out, &f) < 0) {
		fprintf(stderr, "rig: %s\n", f.v[0].text);
		abort();
	}
	pf_findings_clear(&f);
}

/* The record that @revision writes, or deletes with @deletes. */
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
	parse(pf_text_str(&t), &one);
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

uint64_t spread_rig_accept(struct spread_rig *g, uint32_t by)
{
	struct pf_spread_msg seen = { .type = PF_SPREAD_COMMITTED };
	uint32_t i = pf_rng_below(&g->rng, g->o.records);
	bool deletes = pf_rng_below(&g->rng, 4) == 0;
	uint64_t r = g->head + 1;
	struct pf_records set = { 0 };
	struct pf_text t = { 0 };
	struct pf_records one = { 0 };

	PF_INVARIANT("the rig has revisions", r < SPREAD_RIG_REVISIONS);
	parse(pf_str_c(g->sets[g->head]), &set);
	add_record(&t, i, r);
	parse(pf_text_str(&t), &one);
	/* One record always stays. */
	deletes = deletes && i > 0;
	pf_records_del(&set, PF_KIND_MODEL, pf_str_c(one.v[0].name));
	if (!deletes)
		pf_records_put(&set, &one.v[0]);
	g->audits[r] = make_audit(g, r, i, deletes);
	pf_text_reset(&t);
	pf_records_text(&set, &t);
	g->sets[r] = pf_text_take(&t);
	g->head = r;
	pf_records_free(&set);
	pf_records_free(&one);
	seen.u.revision = r;
	if (by < g->n && g->procs[by].up && g->procs[by].paused_until <= g->now)
		step(g, by, &seen);
	return r;
}

struct spread_rig *spread_rig_new(const struct spread_rig_opts *o)
{
	struct spread_rig *g = calloc(1, sizeof(*g));
	struct pf_records set = { 0 };
	struct pf_text t = { 0 };

	PF_INVARIANT("the rig has memory", g);
	g->o = *o;
	pf_rng_seed(&g->rng, o->seed);
	g->procs = calloc(o->procs_max, sizeof(*g->procs));
	PF_INVARIANT("the rig has memory", g->procs);
	g->sets[0] = strdup("");
	for (uint32_t i = 0; i < o->records; i++)
		add_record(&t, i, 1);
	parse(pf_text_str(&t), &set);
	pf_text_reset(&t);
	pf_records_text(&set, &t);
	g->sets[1] = pf_text_take(&t);
	/* Revision 1 brings the whole set; its audit is pruned. */
	g->audits[1] = make_audit(g, 1, 0, false);
	g->head = 1;
	g->pruned = 1;
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
	for (uint32_t i = 0; i < g->n; i++) {
		pf_spread_free(g->procs[i].core);
		free(g->procs[i].links);
		free(g->procs[i].members);
	}
	for (uint32_t i = 0; i < SPREAD_RIG_REVISIONS; i++) {
		free(g->sets[i]);
		free(g->audits[i]);
	}
	pf_heap_free(&g->heap);
	free(g->events);
	free(g->unused);
	free(g->procs);
	free(g);
}

static void tell_members(struct spread_rig *g, uint32_t i)
{
	struct pf_spread_msg m = { .type = PF_SPREAD_MEMBERS };
	struct spread_rig_proc *p = &g->procs[i];

	m.u.members.ids = p->members;
	m.u.members.n_ids = p->n_members;
	if (p->up && p->members)
		step(g, i, &m);
}

void spread_rig_restart(struct spread_rig *g, uint32_t i)
{
	struct spread_rig_proc *p = &g->procs[i];
	struct pf_spread_opts o = g->o.core;

	spread_rig_kill(g, i);
	o.self = p->id;
	o.region = p->region + 1;
	o.seed = pf_id2(g->o.seed, pf_id2(p->id, p->life));
	o.is_entry = p->entry;
	p->core = pf_spread_new(&o, g->now);
	PF_INVARIANT("the rig has memory", p->core);
	p->up = true;
	p->adopted = 0;
	p->tick_at = 0;
	p->paused_until = 0;
	arm(g, i);
	tell_members(g, i);
	for (uint32_t k = 0; k < p->n_links; k++) {
		if (!linked(g, i, p->links[k]))
			continue;
		tell_peer(g, i, p->links[k], true);
		tell_peer(g, p->links[k], i, true);
	}
}

void spread_rig_kill(struct spread_rig *g, uint32_t i)
{
	struct spread_rig_proc *p = &g->procs[i];

	if (!p->up)
		return;
	p->up = false;
	p->life++;
	pf_spread_free(p->core);
	p->core = NULL;
	for (uint32_t k = 0; k < p->n_links; k++)
		tell_peer(g, p->links[k], i, false);
}

uint32_t spread_rig_add(struct spread_rig *g, uint32_t region, bool entry)
{
	uint32_t i = g->n++;

	PF_INVARIANT("the rig has room", i < g->o.procs_max);
	g->procs[i].id = i + 1;
	g->procs[i].region = region;
	g->procs[i].entry = entry;
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
	if (a == b || linked(g, a, b))
		return;
	add_link(&g->procs[a], b);
	add_link(&g->procs[b], a);
	tell_peer(g, a, b, true);
	tell_peer(g, b, a, true);
}

void spread_rig_members(struct spread_rig *g, uint32_t i, const uint64_t *ids,
			uint32_t n)
{
	struct spread_rig_proc *p = &g->procs[i];

	free(p->members);
	p->members = calloc(n, sizeof(*ids));
	PF_INVARIANT("the rig has memory", p->members);
	memcpy(p->members, ids, n * sizeof(*ids));
	p->n_members = n;
	tell_members(g, i);
}

void spread_rig_partition(struct spread_rig *g, bool apart)
{
	if (g->apart == apart)
		return;
	g->apart = apart;
	for (uint32_t i = 0; i < g->n; i++) {
		struct spread_rig_proc *p = &g->procs[i];

		for (uint32_t k = 0; p->up && k < p->n_links; k++) {
			const struct spread_rig_proc *q =
				&g->procs[p->links[k]];

			if (q->up && q->region != p->region)
				tell_peer(g, i, p->links[k], !apart);
		}
	}
}

void spread_rig_table(struct spread_rig *g, bool away, bool head_back)
{
	g->away = away;
	g->head_back = head_back;
}

void spread_rig_prune(struct spread_rig *g)
{
	g->pruned = g->head;
}

void spread_rig_forge(struct spread_rig *g, uint32_t from, uint32_t to,
		      const struct pf_spread_msg *m)
{
	struct pf_spread_msg copy = *m;

	copy.peer = g->procs[from].id;
	if (g->procs[to].up)
		step(g, to, &copy);
}

struct spread_rig_proc *spread_rig_proc(struct spread_rig *g, uint32_t i)
{
	return &g->procs[i];
}

uint32_t spread_rig_count(const struct spread_rig *g)
{
	return g->n;
}

uint64_t spread_rig_head(const struct spread_rig *g)
{
	return g->head;
}

pf_ms spread_rig_now(const struct spread_rig *g)
{
	return g->now;
}

bool spread_rig_converged(const struct spread_rig *g)
{
	for (uint32_t i = 0; i < g->n; i++)
		if (g->procs[i].up && g->procs[i].adopted != g->head)
			return false;
	return true;
}

const struct spread_rig_stats *spread_rig_stats(const struct spread_rig *g)
{
	return &g->stats;
}
