/* The allowance core: its tables, limits and messages. */
#include "src/coordination/allowance/allowance_core.h"

#include <stdlib.h>
#include <string.h>

#define DEF(name, code) code,
static const char *const reason_codes[] = { PF_ALLOWANCE_REASONS(DEF) };
static const char *const mode_codes[] = { PF_ALLOWANCE_MODES(DEF) };
static const char *const cause_codes[] = { PF_ALLOWANCE_CAUSES(DEF) };
#undef DEF

const char *pf_allowance_reason_code(enum pf_allowance_reason r)
{
	return reason_codes[r];
}

const char *pf_allowance_mode_code(enum pf_allowance_mode m)
{
	return mode_codes[m];
}

const char *pf_allowance_cause_code(enum pf_allowance_cause c)
{
	return cause_codes[c];
}

void pf_allowance_opts_default(struct pf_allowance_opts *o)
{
	*o = (struct pf_allowance_opts){
		.accounts_max = 256,
		.peers_max = 2048,
		.waiting_max = 4096,
		.ledgers_max = 8192,
	};
}

static bool opts_are_valid(const struct pf_allowance_opts *o)
{
	return o->self && o->key && o->window > 0 && o->over >= 0 &&
	       o->slack >= 0 && o->accounts_max && o->peers_max &&
	       o->waiting_max && o->ledgers_max;
}

struct pf_allowance *pf_allowance_new(const struct pf_allowance_opts *o)
{
	struct pf_allowance *al =
		opts_are_valid(o) ? calloc(1, sizeof(*al)) : NULL;
	uint32_t i;

	if (!al)
		return NULL;
	al->opts = *o;
	pf_rng_seed(&al->rng, o->seed);
	al->n_gateways = 1;
	al->n_heard = 1;
	TAILQ_INIT(&al->free_waiting);
	al->accounts = calloc(o->accounts_max, sizeof(*al->accounts));
	al->peers = calloc(o->peers_max, sizeof(*al->peers));
	al->ledgers = calloc(o->ledgers_max, sizeof(*al->ledgers));
	al->waiting = calloc(o->waiting_max, sizeof(*al->waiting));
	if (!al->accounts || !al->peers || !al->ledgers || !al->waiting ||
	    pf_map_init(&al->peer_map, o->peers_max) < 0 ||
	    pf_map_init(&al->ledger_map, o->ledgers_max) < 0) {
		pf_allowance_free(al);
		return NULL;
	}
	for (i = 0; i < o->waiting_max; i++)
		TAILQ_INSERT_TAIL(&al->free_waiting, &al->waiting[i], next);
	return al;
}

void pf_allowance_free(struct pf_allowance *al)
{
	if (!al)
		return;
	pf_map_free(&al->peer_map);
	pf_map_free(&al->ledger_map);
	free(al->accounts);
	free(al->peers);
	free(al->ledgers);
	free(al->waiting);
	free(al);
}

uint32_t pf_allowance_weight(const struct pf_allowance_limit *l,
			     bool names_tokens, uint32_t prompt_tokens,
			     uint32_t max_tokens)
{
	uint64_t sum = (uint64_t)prompt_tokens + max_tokens;

	if (l->unit == PF_ALLOWANCE_REQUESTS)
		return 1;
	if (!names_tokens)
		return l->plain_tokens;
	return sum < UINT32_MAX ? (uint32_t)sum : UINT32_MAX;
}

struct allowance_account *allowance_find(struct pf_allowance *al, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < al->n_accounts; i++) {
		if (al->accounts[i].listed && al->accounts[i].id == id)
			return &al->accounts[i];
	}
	return NULL;
}

void allowance_emit(struct pf_allowance *al, const struct pf_allowance_act *a)
{
	al->sink->emit(al->sink->ctx, a);
}

void allowance_set_mode(struct pf_allowance *al, struct allowance_account *a,
			enum pf_allowance_mode mode,
			enum pf_allowance_cause cause)
{
	struct pf_allowance_act act = { .type = PF_ALLOWANCE_MODE_CHANGED };

	if (a->mode == mode)
		return;
	a->mode = mode;
	act.u.mode.account = a->id;
	act.u.mode.mode = mode;
	act.u.mode.cause = cause;
	allowance_emit(al, &act);
}

/* The account's limit is gone: its waiting requests are held no longer. */
static void drop_account(struct pf_allowance *al, struct allowance_account *a)
{
	struct allowance_waiting *w;

	while ((w = TAILQ_FIRST(&a->waiting))) {
		allowance_admit(al, a, w->ctx, w->weight);
		allowance_waiting_free(al, w);
	}
	allowance_home_end(al, a);
	a->id = 0;
}

static struct allowance_account *add_account(struct pf_allowance *al,
					     uint64_t id)
{
	struct allowance_account *a = NULL;
	uint32_t i;

	for (i = 0; i < al->n_accounts && !a; i++) {
		if (!al->accounts[i].id)
			a = &al->accounts[i];
	}
	if (!a && al->n_accounts < al->opts.accounts_max)
		a = &al->accounts[al->n_accounts++];
	if (!a)
		return NULL;
	*a = (struct allowance_account){ .id = id, .per_ms_at = al->now };
	TAILQ_INIT(&a->waiting);
	return a;
}

static void set_limits(struct pf_allowance *al,
		       const struct pf_client_account *v, uint32_t n)
{
	struct allowance_account *a;
	uint32_t i;

	for (i = 0; i < al->n_accounts; i++)
		al->accounts[i].listed = false;
	for (i = 0; i < al->n_accounts; i++) {
		uint32_t k = 0;

		a = &al->accounts[i];
		while (k < n &&
		       !(v[k].id == a->id && v[k].limit.rate_per_s > 0))
			k++;
		if (a->id && k == n)
			drop_account(al, a);
		else if (a->id)
			a->listed = true;
	}
	for (i = 0; i < n; i++) {
		if (!(v[i].limit.rate_per_s > 0))
			continue;
		a = allowance_find(al, v[i].id);
		if (a && a->home.active) /* at the rate so far */
			allowance_home_refill(al, a);
		if (!a)
			a = add_account(al, v[i].id);
		if (!a)
			continue; /* table full: requests are rejected */
		a->listed = true;
		a->limit = v[i].limit;
		if (a->home.active) /* not above the new burst */
			allowance_home_add(a, 0);
	}
	allowance_assign_homes(al);
}

static void charge(struct pf_allowance *al, uint64_t account, uint32_t weight,
		   bool refund)
{
	struct allowance_account *a = allowance_find(al, account);

	if (!a)
		return;
	if (!refund) {
		allowance_charge(al, a, weight);
	} else if (a->home.active) {
		allowance_home_refill(al, a);
		allowance_home_add(a, weight);
	} else {
		a->credit.refunded += weight;
		a->credit.dirty = true;
	}
}

/* What was known before a freeze is stale: roles and credit begin anew. */
static void thaw(struct pf_allowance *al)
{
	uint32_t i;

	for (i = 0; i < al->n_accounts; i++) {
		struct allowance_account *a = &al->accounts[i];

		if (!a->listed)
			continue;
		allowance_home_end(al, a);
		a->credit.expires_at = 0;
		a->own.active = false;
	}
	allowance_assign_homes(al);
}

/* The share granted so far holds for the time so far. */
static void refill_homes(struct pf_allowance *al)
{
	uint32_t i;

	for (i = 0; i < al->n_accounts; i++) {
		if (al->accounts[i].listed && al->accounts[i].home.active)
			allowance_home_refill(al, &al->accounts[i]);
	}
}

static void tick(struct pf_allowance *al)
{
	pf_ms elapsed = al->now - al->ticked_at;
	uint32_t i;

	/* Waiting requests are looked at more often than the rest. */
	if (elapsed >= ALLOWANCE_TICK_MS) {
		al->ticked_at = al->now;
		refill_homes(al);
		allowance_peers_tick(al, elapsed);
		allowance_assign_homes(al);
		allowance_ledgers_tick(al);
	}
	for (i = 0; i < al->n_accounts; i++) {
		struct allowance_account *a = &al->accounts[i];

		if (!a->listed)
			continue;
		allowance_credit_tick(al, a);
		allowance_settle(al, a, NULL);
	}
}

void pf_allowance_step(struct pf_allowance *al, pf_ms now,
		       const struct pf_allowance_msg *m,
		       const struct pf_allowance_sink *sink)
{
	pf_ms before = al->now;

	if (!al->started_at) {
		al->started_at = now;
		al->ticked_at = now;
		before = now;
	}
	al->now = now;
	al->sink = sink;
	if (now - before > ALLOWANCE_FREEZE_MS) {
		allowance_peers_tick(al, 0);
		thaw(al);
	}
	switch (m->type) {
	case PF_ALLOWANCE_LIMITS:
		set_limits(al, m->u.limits.v, m->u.limits.n);
		break;
	case PF_ALLOWANCE_PEER:
		allowance_peer_heard(al, m->u.peer.key, m->u.peer.id);
		break;
	case PF_ALLOWANCE_ROSTER_READ:
		al->roster_read = true;
		break;
	case PF_ALLOWANCE_REQUEST:
		allowance_request(al, m);
		break;
	case PF_ALLOWANCE_CANCEL:
		allowance_cancel(al, m->u.ctx);
		break;
	case PF_ALLOWANCE_REFUND:
		charge(al, m->u.charge.account, m->u.charge.weight, true);
		break;
	case PF_ALLOWANCE_CHARGE:
		charge(al, m->u.charge.account, m->u.charge.weight, false);
		break;
	case PF_ALLOWANCE_ASKED:
		allowance_home_asked(al, m->u.asked.from, m->u.asked.ask);
		break;
	case PF_ALLOWANCE_GRANTED:
		allowance_credit_granted(al, m->u.granted.from,
					 m->u.granted.grant);
		break;
	case PF_ALLOWANCE_TICK:
		tick(al);
		break;
	}
	al->sink = NULL;
}

/* While requests wait, often enough for an objective of 150 ms. */
#define WAITING_TICK_MS 5

pf_ms pf_allowance_next(const struct pf_allowance *al)
{
	return al->now + (al->n_waiting ? WAITING_TICK_MS : ALLOWANCE_TICK_MS);
}

bool pf_allowance_view(const struct pf_allowance *al, pf_ms now, uint32_t i,
		       struct pf_allowance_view *v)
{
	int64_t part = now * ALLOWANCE_WINDOW_PARTS / al->opts.window;
	const struct allowance_account *a;
	int64_t k;

	if (i >= al->n_accounts)
		return false;
	a = &al->accounts[i];
	*v = (struct pf_allowance_view){
		.account = a->listed ? a->id : 0,
		.mode = a->mode,
		.asked = a->asked,
		.admitted = a->admitted,
		.level = a->home.active ? a->home.level
					: (double)a->credit.level,
		.level_age = a->home.active       ? now - a->home.at
			     : a->credit.level_at ? now - a->credit.level_at
						  : -1,
		.home = a->home.active ? al->opts.key : a->credit.home,
	};
	memcpy(v->rejected, a->rejected, sizeof(v->rejected));
	for (k = 0; k < ALLOWANCE_WINDOW_PARTS; k++) {
		if (a->window_part - k > part - ALLOWANCE_WINDOW_PARTS &&
		    a->window_part - k >= 0)
			v->in_window += a->window_parts[(a->window_part - k) %
							ALLOWANCE_WINDOW_PARTS];
	}
	return true;
}
