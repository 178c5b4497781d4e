/* Shares of client accounts in the endpoints' capacity. */
#include "src/coordination/gate/gate_share.h"

/* Excess, as a share of what is in use, for which the whole reserve is kept. An
 * account that uses a fifth, where ten or more use something, has half of it or
 * more; twice this value left the others 3 in 100 fewer answers in time in
 * virtual time. Below it, the reserve grows with the square, so that accounts
 * that are only larger than others are held late. */
#define FULL_EXCESS 0.12

/*
 * Part of an endpoint's capacity that an account with an excess leaves to the
 * others: what may arrive until digests tell of it. Engines whose queues of
 * prompts are short are as busy as others, so most of the queue is kept; slots
 * and memory that stay free are lost.
 */
static const double reserves[GATE_RESOURCE_COUNT] = {
	[GATE_PLAIN_SLOTS] = 0.2,
	[GATE_SLOTS] = 0.15,
	[GATE_KV_TOKENS] = 0.15,
	[GATE_PREFILL_MS] = 0.8,
};

static bool is_idle(const struct gate_share_account *a)
{
	return a->all.v[GATE_PLAIN_SLOTS] <= 0 && a->all.v[GATE_SLOTS] <= 0;
}

static uint32_t find_entry(const struct gate_share *s, uint64_t account)
{
	uint32_t i;

	for (i = 1; account && i <= s->n; i++) {
		if (s->accounts[i].id == account)
			return i;
	}
	return 0;
}

uint32_t gate_share_entry(struct gate_share *s, uint64_t account)
{
	uint32_t at = find_entry(s, account);
	uint32_t i;

	if (at || !account)
		return at;
	for (i = 1; i <= s->n && !at; i++) {
		if (is_idle(&s->accounts[i]))
			at = i;
	}
	if (!at && s->n + 1 < GATE_SHARE_ACCOUNTS)
		at = ++s->n;
	if (at)
		s->accounts[at] = (struct gate_share_account){ .id = account };
	return at;
}

static void add_use(struct gate_share_use *to, const struct gate_share_use *use,
		    int sign)
{
	int k;

	for (k = 0; k < GATE_RESOURCE_COUNT; k++)
		to->v[k] += sign * use->v[k];
}

void gate_share_add(struct gate_share *s, uint32_t entry,
		    const struct gate_share_use *use, int sign, bool own)
{
	struct gate_share_account *a = &s->accounts[entry];

	if (own)
		add_use(&a->own, use, sign);
	add_use(&a->all, use, sign);
	add_use(&s->total, use, sign);
}

static uint32_t told(int64_t v)
{
	return v < 0 ? 0 : v > UINT32_MAX ? UINT32_MAX : (uint32_t)v;
}

uint32_t gate_share_tell(const struct gate_share *s,
			 struct pf_gate_account_load *out)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 1; i <= s->n; i++) {
		const struct gate_share_use *u = &s->accounts[i].own;

		if (u->v[GATE_PLAIN_SLOTS] > 0 || u->v[GATE_SLOTS] > 0)
			out[n++] = (struct pf_gate_account_load){
				.account = s->accounts[i].id,
				.plain = told(u->v[GATE_PLAIN_SLOTS]),
				.running = told(u->v[GATE_SLOTS]),
				.kv_tokens = told(u->v[GATE_KV_TOKENS]),
				.prefill_ms = told(u->v[GATE_PREFILL_MS]),
			};
	}
	return n;
}

struct gate_share_use gate_share_told(const struct pf_gate_account_load *l)
{
	return (struct gate_share_use){ {
		[GATE_PLAIN_SLOTS] = l->plain,
		[GATE_SLOTS] = l->running,
		[GATE_KV_TOKENS] = l->kv_tokens,
		[GATE_PREFILL_MS] = l->prefill_ms,
	} };
}

/* What @account uses beyond an equal share, as a part of what is in use. */
static double excess(const struct gate_share *s, uint64_t account,
		     enum gate_resource resource)
{
	int64_t total = s->total.v[resource];
	int64_t used = s->accounts[find_entry(s, account)].all.v[resource];
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i <= s->n; i++)
		n += s->accounts[i].all.v[resource] > 0;
	if (total <= 0 || n == 0)
		return 0;
	return (double)used / (double)total - 1.0 / n;
}

double gate_share_limit(const struct gate_share *s, uint64_t account,
			enum gate_resource resource)
{
	double x = excess(s, account, resource) / FULL_EXCESS;

	if (x <= 0)
		return 1;
	return 1 - reserves[resource] * (x < 1 ? x * x : 1);
}

bool gate_share_is_full(const struct gate_share *s, uint64_t account)
{
	int k;

	for (k = 0; k < GATE_RESOURCE_COUNT; k++) {
		if (excess(s, account, (enum gate_resource)k) >= FULL_EXCESS)
			return true;
	}
	return false;
}
