/*
 * The bucket of an account at its home. A request is granted while the level is
 * above 0 and takes its whole weight, so that small requests don't starve large
 * ones. The level and the credit that was prefetched by peers are at most the
 * burst, so that credit never adds to it.
 *
 * The home's role begins with an empty bucket: what the account used before is
 * unknown after a loss of power, a freeze or a change of homes.
 */
#include "src/coordination/allowance/allowance_core.h"

/* A bucket holds at least this time of its rate; without that, an account
 * without a burst could send nothing. Within the rule's tolerance of 0.8 s. */
#define BURST_MIN_S 0.1
/* A prefetch takes at most this share of the level. */
#define PREFETCH_SHARE 0.25
/* Credit at a peer that reports nothing counts as used after this time: its
 * credit expired, and it would have said so. */
#define LEDGER_SILENT_MS (ALLOWANCE_CREDIT_MAX_MS + 1000)

static double burst(const struct allowance_account *a)
{
	double least = a->limit.rate_per_s * BURST_MIN_S;

	return a->limit.burst > least ? a->limit.burst : least;
}

void allowance_home_begin(struct pf_allowance *al, struct allowance_account *a)
{
	double debt = (double)(a->credit.charged - a->credit.charged_acked);

	a->home = (struct allowance_home){
		.active = true,
		.since = al->now,
		/* Until then the own shares are the rate. */
		.at = al->now + ALLOWANCE_WARM_UP_MS,
		.term = pf_id2(al->opts.self, (uint64_t)al->now),
		.level = -debt,
	};
#ifdef PF_MUTANT_ALLOWANCE_FULL
	a->home.level = burst(a);
#endif
	a->credit.charged_acked = a->credit.charged;
	allowance_set_mode(al, a, PF_ALLOWANCE_MODE_HOME,
			   PF_ALLOWANCE_CAUSE_HOME_CHANGED);
}

void allowance_home_end(struct pf_allowance *al, struct allowance_account *a)
{
	uint32_t i;

	if (!a->home.active)
		return;
	a->home.active = false;
	a->credit.home = 0;
	for (i = 0; i < al->n_ledgers; i++) {
		struct allowance_ledger *l = &al->ledgers[i];

		if (l->account != a)
			continue;
		(void)pf_map_del(&al->ledger_map,
				 (struct pf_key){ a->id, l->peer });
		l->account = NULL;
	}
}

bool allowance_home_is_warm(const struct pf_allowance *al,
			    const struct allowance_account *a)
{
	return al->now - a->home.since >= ALLOWANCE_WARM_UP_MS;
}

void allowance_home_add(struct allowance_account *a, double units)
{
	double max = burst(a) - a->home.idle;

	if (a->home.level + units <= max)
		a->home.level += units;
	else if (a->home.level < max || units <= 0)
		a->home.level = max;
}

void allowance_home_refill(struct pf_allowance *al, struct allowance_account *a)
{
	double per_ms =
		a->limit.rate_per_s / 1000 * allowance_granted_share(al);

	if (al->now <= a->home.at)
		return;
	allowance_home_add(a, per_ms * (double)(al->now - a->home.at));
	a->home.at = al->now;
}

bool allowance_home_take(struct pf_allowance *al, struct allowance_account *a,
			 uint32_t weight)
{
	allowance_home_refill(al, a);
	if (a->home.level <= 0)
		return false;
	a->home.level -= weight;
	return true;
}

pf_ms allowance_home_empty(const struct allowance_account *a)
{
	if (a->home.level > 0)
		return 0;
	return 1 + (pf_ms)(-a->home.level * 1000 / a->limit.rate_per_s);
}

pf_ms allowance_slot(pf_ms *slot_at, pf_ms now, pf_ms ready, double weight,
		     double rate_per_s)
{
	pf_ms at = *slot_at > ready ? *slot_at : ready;

	if (at > now + ALLOWANCE_RETRY_MAX_MS)
		at = ready;
	*slot_at = at + 1 + (pf_ms)(weight * 1000 / rate_per_s);
	return at - now;
}

static struct allowance_ledger *
find_ledger(struct pf_allowance *al, struct allowance_account *a, uint64_t peer)
{
	struct pf_key key = { a->id, peer };
	struct allowance_ledger *l = NULL;
	uint32_t i;

	if (pf_map_get(&al->ledger_map, key, &i) == 0)
		return &al->ledgers[i];
	for (i = 0; i < al->n_ledgers && !l; i++) {
		if (!al->ledgers[i].account)
			l = &al->ledgers[i];
	}
	if (!l && al->n_ledgers < al->opts.ledgers_max)
		l = &al->ledgers[al->n_ledgers++];
	if (!l)
		return NULL;
	*l = (struct allowance_ledger){ .account = a, .peer = peer };
	(void)pf_map_put(&al->ledger_map, key, (uint32_t)(l - al->ledgers));
	return l;
}

static double outstanding(const struct allowance_ledger *l)
{
	return (double)(l->granted - l->used - l->returned);
}

static void set_idle(struct allowance_ledger *l, double idle)
{
	l->account->home.idle += idle - l->idle;
	l->idle = idle;
}

/* Credit that the peer still had counts as used. */
static void write_off(struct allowance_ledger *l)
{
	set_idle(l, 0);
	l->used = l->granted - l->returned;
}

static void begin_ledger(struct allowance_ledger *l, uint64_t session,
			 double silent_total)
{
	uint64_t old = l->session;
	bool known = l->term == l->account->home.term;

	if (known)
		write_off(l);
	*l = (struct allowance_ledger){
		.account = l->account,
		.peer = l->peer,
		.term = l->account->home.term,
		.session = session,
		.old_session = old,
		.silent_seen = known ? l->silent_seen : silent_total,
	};
}

/* Part of @units of own share that was assumed while @p was silent. */
static double already_deducted(struct allowance_ledger *l,
			       const struct allowance_peer *p, double units)
{
	double assumed;

	if (!p)
		return 0;
	assumed = (p->silent_total - l->silent_seen) / 1000 *
		  l->account->limit.rate_per_s;
	l->silent_seen = p->silent_total;
	return assumed < units ? assumed : units;
}

/* Takes over the counters of @ask, which only grow. */
static void update_ledger(struct pf_allowance *al, struct allowance_ledger *l,
			  const struct allowance_peer *p,
			  const struct pf_allowance_ask *ask)
{
	struct allowance_account *a = l->account;
	double left = outstanding(l);
	double used = ask->used > l->used ? (double)(ask->used - l->used) : 0;
	double returned = ask->returned > l->returned
				  ? (double)(ask->returned - l->returned)
				  : 0;
	double charged = ask->charged > l->charged
				 ? (double)(ask->charged - l->charged)
				 : 0;
	double refunded = ask->refunded > l->refunded
				  ? (double)(ask->refunded - l->refunded)
				  : 0;

	used = used < left ? used : left;
	returned = returned < left - used ? returned : left - used;
	l->used += (uint64_t)used;
	l->returned += (uint64_t)returned;
	l->refunded += (uint64_t)refunded;
	l->charged += (uint64_t)charged;
#ifdef PF_MUTANT_ALLOWANCE_REFUND
	refunded = (double)ask->refunded;
#endif
	set_idle(l, 0); /* until grant_weights() knows what remains */
	allowance_home_add(a, returned + refunded);
	if (charged > 0)
		a->home.level -= charged - already_deducted(l, p, charged);
	l->seq = ask->seq;
	l->at = al->now;
}

static void grant(struct allowance_ledger *l, double units)
{
	l->granted += (uint64_t)units;
	l->account->home.level -= (double)(uint64_t)units;
}

/*
 * Grants what the peer's credit doesn't cover yet. Returns the weight of the
 * requests that are over the limit.
 */
static double grant_weights(struct allowance_ledger *l,
			    const struct pf_allowance_ask *ask)
{
	struct allowance_account *a = l->account;
	double left = outstanding(l);
	double covered = 0;
	double over = 0;
	double most;
	uint32_t i;

	for (i = 0; i < ask->n_weights && i < PF_ALLOWANCE_WEIGHTS_MAX; i++) {
		double weight = ask->weights[i];

		if (over == 0 && left >= weight) {
			left -= weight;
			covered += weight;
		} else if (over == 0 && a->home.level > 0) {
			grant(l, weight - left);
			left = 0;
			covered += weight;
		} else {
			over += weight;
		}
	}
	most = a->home.level * PREFETCH_SHARE;
	if (over == 0 && ask->prefetch > left && most > 0)
		grant(l, ask->prefetch - left < most ? ask->prefetch - left
						     : most);
	set_idle(l, outstanding(l) - covered);
	return over;
}

static void answer(struct pf_allowance *al, uint64_t to,
		   const struct pf_allowance_grant *g)
{
	struct pf_allowance_act act = { .type = PF_ALLOWANCE_SEND_GRANT,
					.to = to };

	act.u.grant = g;
	allowance_emit(al, &act);
}

/* The level, and when requests over the limit get through. */
static void add_level(struct pf_allowance *al, struct allowance_account *a,
		      double over, struct pf_allowance_grant *g)
{
	pf_ms empty = allowance_home_empty(a);

	g->level = (int64_t)a->home.level;
	g->empty_ms = (uint32_t)empty;
	if (over > 0)
		g->slot_ms = (uint32_t)allowance_slot(&a->home.slot_at, al->now,
						      al->now + empty, over,
						      a->limit.rate_per_s);
}

void allowance_home_asked(struct pf_allowance *al, uint64_t from,
			  const struct pf_allowance_ask *ask)
{
	struct allowance_account *a = allowance_find(al, ask->account);
	struct allowance_peer *p = allowance_peer_find(al, from);
	struct pf_allowance_grant g = { .account = ask->account,
					.session = ask->session,
					.seq = ask->seq,
					.type = PF_ALLOWANCE_NOT_HOME };
	struct allowance_ledger *l = NULL;

	if (a && a->home.active) {
		g.term = a->home.term;
		g.type = PF_ALLOWANCE_RESTART;
		if (!ask->term || ask->term == a->home.term)
			l = find_ledger(al, a, from);
		else
			goto out;
	}
	if (!l) {
		g.type = PF_ALLOWANCE_NOT_HOME;
		goto out;
	}
	allowance_home_refill(al, a);
	if (l->term == g.term && l->old_session == ask->session)
		return;
	if (l->term != g.term || l->session != ask->session)
		begin_ledger(l, ask->session, p ? p->silent_total : 0);
	if (ask->seq <= l->seq)
		return;
	update_ledger(al, l, p, ask);
	g.type = PF_ALLOWANCE_WARMING;
	if (allowance_home_is_warm(al, a)) {
		g.type = PF_ALLOWANCE_GRANTS;
		add_level(al, a, grant_weights(l, ask), &g);
	}
	g.granted = l->granted;
	g.charged = l->charged;
out:
	answer(al, from, &g);
}

void allowance_ledgers_tick(struct pf_allowance *al)
{
	uint32_t i;

	for (i = 0; i < al->n_ledgers; i++) {
		struct allowance_ledger *l = &al->ledgers[i];

		if (l->account && outstanding(l) > 0 &&
		    al->now - l->at > LEDGER_SILENT_MS)
			write_off(l);
		if (!l->account || al->now - l->at < ALLOWANCE_PEER_COUNTS_MS)
			continue;
		(void)pf_map_del(&al->ledger_map,
				 (struct pf_key){ l->account->id, l->peer });
		l->account = NULL;
	}
}
