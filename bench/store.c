/* The weight store: loads start at its rate and share its slots. */
#include "bench/figures.h"
#include "bench/world.h"

/* Loads start at the store's rate and share its slots. */
static pf_ms model_load(struct bench *b, int64_t bytes)
{
	const struct pf_deployment *d = &b->o->config->deployment;
	uint32_t slot = 0;
	pf_ms start = b->now;

	for (uint32_t i = 1; i < d->store_inflight && i < 64; i++)
		if (b->store_slots[i] < b->store_slots[slot])
			slot = i;
	if (start < b->store_next)
		start = b->store_next;
	if (start < b->store_slots[slot])
		start = b->store_slots[slot];
	if (start < b->store_away_until)
		start = b->store_away_until;
	b->store_next = start + (pf_ms)(1000 / d->store_loads_rate);
	b->store_slots[slot] = start + (pf_ms)((double)bytes / LOAD_BYTES_MS);
	return b->store_slots[slot];
}

pf_ms bench_load_time(struct bench *b, uint64_t item, int64_t bytes,
		      bool adapter)
{
	uint32_t knee = b->o->config->deployment.adapter_knee;
	pf_ms ms;

	(void)item;
	if (!adapter)
		return model_load(b, bytes);
	b->adapters_inflight++;
	ms = ADAPTER_MS_MIN + pf_rng_below(&b->rng, ADAPTER_MS_SPAN);
	if (b->adapters_inflight > knee)
		ms = ms * b->adapters_inflight / knee;
	return b->now + ms;
}

void bench_load_end(struct bench *b, bool adapter)
{
	if (adapter)
		b->adapters_inflight--;
}
