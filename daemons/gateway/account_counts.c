/* Requests of each client account that ended, by outcome. */
#include "gateway.h"

#include <stdlib.h>
#include <string.h>

/* Accounts that are counted; those beyond have no counts until a restart. */
#define COUNTED_MAX 4096

struct account_counts {
	struct pf_map slots; /* by id of the account */
	uint64_t v[COUNTED_MAX][ACCOUNT_OUTCOME_COUNT];
	uint32_t n;
};

int account_counts_start(struct gateway *g)
{
	struct account_counts *c = calloc(1, sizeof(*c));

	g->account_counts = c;
	return c ? pf_map_init(&c->slots, COUNTED_MAX) : -1;
}

void account_counts_stop(struct gateway *g)
{
	if (g->account_counts)
		pf_map_free(&g->account_counts->slots);
	free(g->account_counts);
	g->account_counts = NULL;
}

void account_counts_add(const struct exchange *x, enum account_outcome how)
{
	struct account_counts *c = x->gateway->account_counts;
	uint32_t slot;

	if (!x->account || !c)
		return;
	if (pf_map_get(&c->slots, pf_key1(x->account), &slot) < 0) {
		if (c->n == COUNTED_MAX ||
		    pf_map_put(&c->slots, pf_key1(x->account), c->n) < 0)
			return;
		slot = c->n++;
	}
	c->v[slot][how]++;
}

void account_counts_get(const struct gateway *g, uint64_t account,
			uint64_t out[ACCOUNT_OUTCOME_COUNT])
{
	const struct account_counts *c = g->account_counts;
	uint32_t slot;

	memset(out, 0, ACCOUNT_OUTCOME_COUNT * sizeof(*out));
	if (c && pf_map_get(&c->slots, pf_key1(account), &slot) == 0)
		memcpy(out, c->v[slot], sizeof(c->v[slot]));
}
