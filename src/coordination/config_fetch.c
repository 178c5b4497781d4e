#include "pimentoford/config_fetch.h"

/* The store gets this long to answer with the newer version. */
#define STORE_FIRST_MS 500
/* Then another peer is asked too. */
#define NEXT_PEER_MS 250
/* A fetch whose bytes only trickle gives way to another one. */
#define FETCH_MAX_MS 2000
/* A peer whose fetch failed is not asked again so soon. */
#define FAILED_PEER_MS 1000

/* A slot that is unused, or whose fetch has taken too long; -1: none. */
static int find_slot(const struct pf_config_fetch *f, pf_ms now)
{
	int slot = -1;
	int i;

	for (i = 0; i < PF_CONFIG_FETCHES_MAX; i++) {
		if (!f->v[i].peer)
			return i;
		if (now - f->v[i].started_at >= FETCH_MAX_MS)
			slot = i;
	}
	return slot;
}

static bool may_ask(const struct pf_config_fetch *f, pf_ms now, uint64_t peer)
{
	uint32_t i;

	if (f->failed_peer == peer && now - f->failed_at < FAILED_PEER_MS)
		return false;
	for (i = 0; i < PF_CONFIG_FETCHES_MAX; i++) {
		if (f->v[i].peer && (f->v[i].peer == peer ||
				     now - f->v[i].started_at < NEXT_PEER_MS))
			return false;
	}
	return true;
}

bool pf_config_fetch_due(struct pf_config_fetch *f, pf_ms now,
			 const struct pf_config_stated *s, uint32_t *slot)
{
	int at;

	if (s->version > f->told)
		f->told = s->version;
	if (s->version <= s->own_version)
		return false;
	if (!f->behind_since)
		f->behind_since = now;
	if (!s->store_away && now - f->behind_since < STORE_FIRST_MS)
		return false;
	at = find_slot(f, now);
	if (at < 0 || !may_ask(f, now, s->peer))
		return false;
	*slot = (uint32_t)at;
	f->v[*slot].peer = s->peer;
	f->v[*slot].started_at = now;
	return true;
}

void pf_config_fetch_ended(struct pf_config_fetch *f, pf_ms now, uint32_t slot,
			   bool ok)
{
	if (!ok) {
		f->failed_peer = f->v[slot].peer;
		f->failed_at = now;
	}
	f->v[slot].peer = 0;
}

void pf_config_fetch_in_force(struct pf_config_fetch *f)
{
	f->behind_since = 0;
}
