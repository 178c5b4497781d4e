/* The memory ledger against a model that adds up the same commands. */
#include "fuzz/fuzz.h"
#include "pimentoford/ledger.h"

#define N_ITEMS 6
#define N_RUNS 6

struct model {
	enum pf_item_state state[N_ITEMS];
	int64_t item_bytes[N_ITEMS];
	int64_t kv_bytes[N_RUNS];
	int64_t unaccounted_bytes;
	bool reconciled;
};

static int64_t known_bytes(const struct model *m)
{
	int64_t sum = 0;

	for (int i = 0; i < N_ITEMS; i++)
		sum += m->item_bytes[i];
	for (int i = 0; i < N_RUNS; i++)
		sum += m->kv_bytes[i];
	return sum;
}

static bool fits(const struct model *m, int64_t capacity, int64_t more)
{
	return m->reconciled &&
	       known_bytes(m) + m->unaccounted_bytes + more <= capacity;
}

static void load(struct pf_ledger *l, struct model *m, uint32_t i, int64_t n,
		 struct fuzz_result *r)
{
	bool ok =
		m->state[i] == PF_ITEM_ABSENT && fits(m, l->capacity_bytes, n);

	if ((pf_ledger_begin_load(l, i, n) == 0) != ok)
		fuzz_violation(r, "load of %lld bytes: wrong result",
			       (long long)n);
	if (!ok)
		return;
	m->state[i] = PF_ITEM_LOADING;
	m->item_bytes[i] = n;
}

static void unload(struct pf_ledger *l, struct model *m, uint32_t i,
		   struct fuzz_result *r)
{
	bool ok = m->state[i] == PF_ITEM_RESIDENT;

	if ((pf_ledger_begin_unload(l, i) == 0) != ok)
		fuzz_violation(r, "unload: wrong result");
	if (ok)
		m->state[i] = PF_ITEM_UNLOADING;
}

static void settle(struct pf_ledger *l, struct model *m, uint32_t i,
		   bool resident)
{
	if (m->state[i] == PF_ITEM_ABSENT)
		return;
	m->state[i] = resident ? PF_ITEM_RESIDENT : PF_ITEM_ABSENT;
	if (!resident)
		m->item_bytes[i] = 0;
	pf_ledger_settle(l, i, m->state[i]);
}

static void grant(struct pf_ledger *l, struct model *m, uint32_t i, int64_t n,
		  struct fuzz_result *r)
{
	int64_t more = n - m->kv_bytes[i];
	bool ok = m->reconciled &&
		  (more <= 0 || fits(m, l->capacity_bytes, more));

	if ((pf_ledger_grant_kv(l, i, n) == 0) != ok)
		fuzz_violation(r, "grant of %lld bytes: wrong result",
			       (long long)n);
	if (ok)
		m->kv_bytes[i] = n;
}

static void reconcile(struct pf_ledger *l, struct model *m, uint32_t i,
		      int64_t n, int64_t used, int64_t unlisted)
{
	if (n > 0) {
		pf_ledger_reconcile_item(l, i, PF_ITEM_RESIDENT, n);
		m->state[i] = PF_ITEM_RESIDENT;
		m->item_bytes[i] = n > m->item_bytes[i] ? n : m->item_bytes[i];
	}
	pf_ledger_reconcile_total(l, used, unlisted);
	m->unaccounted_bytes =
		used > known_bytes(m) ? used - known_bytes(m) : 0;
	m->unaccounted_bytes = unlisted > m->unaccounted_bytes
				       ? unlisted
				       : m->unaccounted_bytes;
	m->reconciled = true;
}

static void random_command(struct pf_ledger *l, struct model *m,
			   struct pf_rng *g, struct fuzz_result *r)
{
	uint32_t i = pf_rng_below(g, N_ITEMS);
	int64_t n = pf_rng_below(g, 500);

	switch (pf_rng_below(g, 12)) {
	case 0:
	case 1:
		load(l, m, i, n, r);
		break;
	case 2:
		unload(l, m, i, r);
		break;
	case 3:
		pf_ledger_mark_in_doubt(l, i);
		break;
	case 4:
	case 5:
		settle(l, m, i, pf_rng_below(g, 2));
		break;
	case 6:
		pf_ledger_release_kv(l, i);
		m->kv_bytes[i] = 0;
		break;
	case 7:
		reconcile(l, m, i, pf_rng_below(g, 3) ? 0 : n,
			  pf_rng_below(g, 1300), pf_rng_below(g, 3) ? 0 : n);
		break;
	case 8:
		if (pf_rng_below(g, 20))
			break;
		pf_ledger_reset(l);
		*m = (struct model){ 0 };
		break;
	default:
		grant(l, m, i, n, r);
		break;
	}
}

void fuzz_ledger(uint64_t seed, uint32_t steps_max, struct fuzz_result *r)
{
	struct pf_ledger l;
	struct model m = { 0 };
	struct pf_rng g;

	pf_rng_seed(&g, seed);
	if (pf_ledger_init(&l, 500 + pf_rng_below(&g, 1000), N_ITEMS, N_RUNS) <
	    0) {
		fuzz_violation(r, "no memory");
		return;
	}
	for (uint32_t i = 0; i < steps_max && r->violations == 0; i++) {
		int64_t before = pf_ledger_committed(&l);
		int64_t want;

		random_command(&l, &m, &g, r);
		r->steps++;
		want = known_bytes(&m) + m.unaccounted_bytes;
		if (pf_ledger_committed(&l) != want)
			fuzz_violation(r, "committed %lld bytes, not %lld",
				       (long long)pf_ledger_committed(&l),
				       (long long)want);
		/* Only an inventory may raise the sum above the capacity. */
		if (pf_ledger_committed(&l) > l.capacity_bytes &&
		    pf_ledger_committed(&l) > before && l.overcommit_sum == 0)
			fuzz_violation(r, "committed above the capacity");
		if (pf_ledger_available(&l) > 0 && !m.reconciled)
			fuzz_violation(r, "admits before reconciliation");
	}
	pf_ledger_free(&l);
}
