/*
 * Figures of the fake engines, the network and the demand. Those that the
 * users' brief gives are taken from it: latencies between availability zones
 * and regions, loads a second and at once, adapter load times, numbers of
 * workers, models and adapters. The others, with the reason for each:
 *
 * STEP_BASE_MS, STEP_SEQUENCE_MS: reading the weights of one model takes a fixed
 *   time a step, each sequence adds attention time; 32 sequences step in 33 ms,
 *   within the 73 ms between tokens that the users ask for.
 * STEP_MODEL_MS: sequences of different models cannot share a step.
 * PREFILL_TOKEN_MS, PREFILL_STEP_TOKENS: prompts are read in parts between steps.
 * LOAD_BYTES_PER_MS: a 16 GiB model takes 4 s, so that 8 loads at once give the
 *   weight store's 2 loads a second.
 * PREFIX_SHARED_FRACTION, PREFIX_CACHE_SLOTS: prompts of a caller's documents share their
 *   beginning; the engine's prefix cache is limited.
 * BURST_*: a model's demand moves tenfold; the times are those of the letter's
 *   hour, shortened so that several swings fall into one run.
 */
#ifndef BENCH_FIGURES_H
#define BENCH_FIGURES_H

#define STEP_BASE_MS 20.0
#define STEP_SEQUENCE_MS 0.4
#define STEP_MODEL_MS 14.0 /* for each further model in the batch */
#define PREFILL_TOKEN_MS 0.08
#define PREFILL_STEP_TOKENS 512 /* prompt tokens in one step */
#define CHUNK_STEPS 8 /* decode steps joined in one event */
#define LOAD_BYTES_PER_MS 4294967.0 /* bytes of weights read in a millisecond */
#define ADAPTER_LOAD_MIN_MS 5
#define ADAPTER_LOAD_SPAN_MS 6
#define UNLOAD_MS 20
#define PREFIX_SHARED_FRACTION 0.6 /* of a prompt */
#define PREFIX_CACHE_SLOTS 24
#define RESTART_MS 15000 /* an engine or VM that died is back */
#define BURST_LOW_FACTOR 0.35
#define BURST_HIGH_FACTOR 3.5
#define BURST_LOW_MS 240000.0 /* mean time in each state */
#define BURST_HIGH_MS 60000.0
#define MODEL_ZIPF_EXPONENT 0.8 /* popularity of the models */
#define LENGTH_PARETO_SHAPE 1.6 /* of the Pareto lengths */

#endif
