/*
 * Which gateways there are, and which of them is an account's home.
 *
 * A fleet that is cut in two elects two homes. Each grants only the share of
 * the rate that belongs to the gateways it hears, so that both together stay
 * within the limit. The small tolerance keeps the loss of one gateway of many
 * from costing its share of the rate. A gateway counts for a minute after it was
 * last heard, however long its row stays in the store. A gateway that has read
 * no rows and hears nobody may be one of many: it has no share.
 */
#include "src/coordination/allowance/allowance_core.h"

/* Of the rule's tolerance, for the share of the rate of silent gateways; two
 * or three parts of a divided fleet each use it. */
#define TOLERANCE_SHARE 0.33

struct allowance_peer *allowance_peer_find(struct pf_allowance *al,
					   uint64_t key)
{
	uint32_t i;

	return pf_map_get(&al->peer_map, pf_key1(key), &i) == 0 ? &al->peers[i]
								: NULL;
}

static pf_ms last_sign(const struct allowance_peer *p)
{
	return p->heard_at > p->known_at ? p->heard_at : p->known_at;
}

static bool peer_counts(const struct pf_allowance *al,
			const struct allowance_peer *p)
{
	return al->now - last_sign(p) < ALLOWANCE_PEER_COUNTS_MS;
}

static bool peer_is_live(const struct pf_allowance *al,
			 const struct allowance_peer *p)
{
	return p->heard_at && al->now - p->heard_at < ALLOWANCE_PEER_LIVE_MS;
}

static bool peer_is_heard(const struct pf_allowance *al,
			  const struct allowance_peer *p)
{
	return p->heard_at && al->now - p->heard_at < ALLOWANCE_PEER_HEARD_MS;
}

/* A place that was not used, or whose gateway does not count any more. */
static struct allowance_peer *free_place(struct pf_allowance *al)
{
	struct allowance_peer *end = al->peers + al->n_peers;
	struct allowance_peer *p;

	if (al->n_peers < al->opts.peers_max)
		return &al->peers[al->n_peers++];
	for (p = al->peers; p < end; p++) {
		if (!peer_counts(al, p)) {
			(void)pf_map_del(&al->peer_map, pf_key1(p->key));
			return p;
		}
	}
	return NULL;
}

static struct allowance_peer *add_peer(struct pf_allowance *al, uint64_t key)
{
	struct allowance_peer *p = free_place(al);

	if (!p)
		return NULL;
	*p = (struct allowance_peer){ .key = key, .known_at = al->now };
	(void)pf_map_put(&al->peer_map, pf_key1(key),
			 (uint32_t)(p - al->peers));
	return p;
}

void allowance_peer_heard(struct pf_allowance *al, uint64_t key, uint64_t id)
{
	struct allowance_peer *p = allowance_peer_find(al, key);
	bool was_live;
	uint32_t i;

	if (!key || key == al->opts.key)
		return;
	if (!p)
		p = add_peer(al, key);
	if (!p || !id)
		return;
	was_live = peer_is_live(al, p);
	p->heard_at = al->now;
	if (p->id && p->id != id) {
		/* A new process knows nothing of the sessions with the old. */
		for (i = 0; i < al->n_accounts; i++) {
			struct allowance_account *a = &al->accounts[i];

			if (a->listed && a->credit.home == key)
				allowance_session_begin(al, a, key);
		}
	}
	p->id = id;
	if (!was_live) {
		allowance_peers_tick(al, 0);
		allowance_assign_homes(al);
	}
}

bool allowance_knows_gateways(const struct pf_allowance *al)
{
	return al->roster_read || al->n_gateways > 1;
}

double allowance_granted_share(const struct pf_allowance *al)
{
	double share = (double)al->n_heard / al->n_gateways +
		       al->opts.over * TOLERANCE_SHARE;

	if (!allowance_knows_gateways(al))
		return 0;

	return share < 1 ? share : 1;
}

static void count_gateways(struct pf_allowance *al)
{
	uint32_t i;

	al->n_gateways = 1;
	al->n_heard = 1;
	for (i = 0; i < al->n_peers; i++) {
		al->n_gateways += peer_counts(al, &al->peers[i]);
		al->n_heard += peer_is_heard(al, &al->peers[i]);
	}
}

void allowance_peers_tick(struct pf_allowance *al, pf_ms elapsed)
{
	double kept;
	uint32_t i;

	count_gateways(al);
	kept = (1 - allowance_granted_share(al)) * (double)elapsed /
	       (al->n_gateways - al->n_heard + 1);
	for (i = 0; i < al->n_peers && kept > 0; i++) {
		struct allowance_peer *p = &al->peers[i];

		if (peer_counts(al, p) && !peer_is_heard(al, p))
			p->silent_total += kept;
	}
}

static uint64_t score(const struct allowance_account *a, uint64_t key)
{
	return pf_id2(a->id, key);
}

static uint64_t find_home(const struct pf_allowance *al,
			  const struct allowance_account *a)
{
	uint64_t best = al->opts.key;
	uint64_t best_score = score(a, best);
	uint32_t i;

	for (i = 0; i < al->n_peers; i++) {
		const struct allowance_peer *p = &al->peers[i];
		uint64_t s;

		if (!peer_is_live(al, p))
			continue;
		s = score(a, p->key);
		if (s > best_score) {
			best = p->key;
			best_score = s;
		}
	}
	return best;
}

void allowance_assign_homes(struct pf_allowance *al)
{
	uint32_t i;

	for (i = 0; i < al->n_accounts; i++) {
		struct allowance_account *a = &al->accounts[i];
		uint64_t home;

		if (!a->listed)
			continue;
		home = find_home(al, a);
		if (home != al->opts.key && a->home.active)
			allowance_home_end(al, a);
		if (home != a->credit.home)
			allowance_session_begin(al, a, home);
		if (home == al->opts.key && !a->home.active)
			allowance_home_begin(al, a);
	}
}

double allowance_phase(const struct pf_allowance *al,
		       const struct allowance_account *a)
{
	uint64_t own = score(a, al->opts.key);
	uint32_t lower = 0;
	uint32_t i;

	for (i = 0; i < al->n_peers; i++)
		lower += peer_counts(al, &al->peers[i]) &&
			 score(a, al->peers[i].key) < own;
	return (lower + 0.5) / al->n_gateways;
}
