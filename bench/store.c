/* The weight store: limits the rate of loads and the loads in flight. */
#include "bench/figures.h"
#include "bench/world.h"

/* Takes the slot that is free first; returns when the load completes. */
static pf_ms model_load(struct bench *b, int64_t bytes)
{
	const struct pf_deployment *d = &b->opts->config->deployment;
	uint32_t slot = 0;
	pf_ms start = b->now;

	for (uint32_t i = 1; i < d->store_inflight && i < 64; i++)
		if (b->store_slot_free_at[i] < b->store_slot_free_at[slot])
			slot = i;
	if (start < b->store_next_start)
		start = b->store_next_start;
	if (start < b->store_slot_free_at[slot])
		start = b->store_slot_free_at[slot];
	if (start < b->store_down_until)
		start = b->store_down_until;
	b->store_next_start = start + (pf_ms)(1000 / d->store_loads_rate);
	b->store_slot_free_at[slot] =
		start + (pf_ms)((double)bytes / LOAD_BYTES_PER_MS);
	return b->store_slot_free_at[slot];
}

pf_ms bench_load_begin(struct bench *b, uint64_t item, int64_t bytes,
		       bool adapter)
{
	uint32_t knee = b->opts->config->deployment.adapter_knee;
	pf_ms ms;

	(void)item;
	if (!adapter)
		return model_load(b, bytes);
	b->adapters_inflight++;
	ms = ADAPTER_LOAD_MIN_MS + pf_rng_below(&b->rng, ADAPTER_LOAD_SPAN_MS);
	if (b->adapters_inflight > knee)
		ms = ms * b->adapters_inflight / knee;
	return b->now + ms;
}

void bench_load_end(struct bench *b, bool adapter)
{
	if (adapter)
		b->adapters_inflight--;
}
