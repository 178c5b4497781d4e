/*
 * Parameters of the simulated engines, network and demand. Latencies between
 * availability zones and regions, load rates, adapter load times and numbers
 * of workers, models and adapters come from the requirements. The others:
 *
 * STEP_BASE_MS, STEP_SEQUENCE_MS: a step reads the weights once, and each
 *   sequence adds attention time. 32 sequences step in 33 ms, within the 73 ms
 *   between tokens that the requirements allow.
 * STEP_MODEL_MS: sequences of different models cannot share a step.
 * PREFILL_TOKEN_MS, PREFILL_STEP_TOKENS: chunked prefill between decode steps.
 * LOAD_BYTES_PER_MS: a 16 GiB model takes 4 s, so that 8 concurrent loads
 *   reach the weight store's 2 loads a second.
 * PREFIX_SHARED_FRACTION, PREFIX_CACHE_SLOTS: prompts about a caller's
 *   documents share a prefix; the engine's prefix cache is limited.
 * BURST_*: the demand for a model varies tenfold. The times are those of the
 *   required hour, shortened so that a run has several bursts.
 */
#ifndef BENCH_FIGURES_H
#define BENCH_FIGURES_H

#define STEP_BASE_MS 20.0
#define STEP_SEQUENCE_MS 0.4
#define STEP_MODEL_MS 14.0 /* per additional model in the batch */
#define PREFILL_TOKEN_MS 0.08
#define PREFILL_STEP_TOKENS 512 /* per step */
#define CHUNK_STEPS 8 /* most decode steps per simulation event */
#define LOAD_BYTES_PER_MS 4294967.0 /* of weights */
#define ADAPTER_LOAD_MIN_MS 5
#define ADAPTER_LOAD_SPAN_MS 6 /* width of the uniform distribution */
#define UNLOAD_MS 20
#define PREFIX_SHARED_FRACTION 0.6 /* of a prompt */
#define PREFIX_CACHE_SLOTS 24
#define RESTART_MS 15000 /* until a crashed engine or VM is back */
#define BURST_LOW_FACTOR 0.35
#define BURST_HIGH_FACTOR 3.5
#define BURST_LOW_MS 240000.0 /* mean time in each state */
#define BURST_HIGH_MS 60000.0
#define MODEL_ZIPF_EXPONENT 0.8 /* of model popularity */
#define LENGTH_PARETO_SHAPE 1.6 /* of prompt and output lengths */

#endif
