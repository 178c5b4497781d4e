/*
 * What the two parts of the engine stand-in share: memory and items
 * (engine_items.c), runs and the batch (engine.c).
 */
#ifndef PIMENTO_STANDIN_ENGINE_H
#define PIMENTO_STANDIN_ENGINE_H

#include "standin/answer.h"
#include "standin/roles.h"

/** A model version or adapter in memory. */
struct item {
	struct engine *engine;
	char *name;
	const char *state; /* "loading", "resident" or "unloading" */
	int64_t bytes;
	struct exchange *order; /* the order waiting for it, or NULL */
	struct event *timer;
	struct evhttp_connection *store_conn;
};

struct run {
	struct engine *engine;
	char *id;
	char *model;
	char *adapter;
	struct exchange *stream; /* NULL when its caller went away */
	struct answer answer;
	uint32_t prompt_tokens;
	uint32_t
		output_tokens; /* output tokens, those before the offset included */
	uint32_t output_limit;
	int priority; /* 0 is the most urgent */
	bool prefix_cached;
	bool in_batch;
	bool limit_reported;
	double ready_at; /* no token before this time, ms */
};

/* DEF(name): counters of the engine. */
#define ENGINE_COUNTERS(DEF)                                             \
	DEF(peak) /* most bytes committed */                             \
	DEF(overcommit) /* times asked for memory that does not exist */ \
	DEF(started)                                                     \
	DEF(ended)                                                       \
	DEF(cancelled)                                                   \
	DEF(tokens)                                                      \
	DEF(loads)                                                       \
	DEF(unloads)                                                     \
	DEF(fenced)                                                      \
	DEF(prefix_hits)                                                 \
	DEF(prior_mismatch) /* resumed from text that is not its own */

struct engine {
	struct server *server;
	const struct options *opts;
	char boot_id[17];
	GHashTable *items; /* name to struct item */
	GHashTable *runs; /* id to struct run */
	GPtrArray *run_list; /* struct run, oldest first */
	GQueue prefix_cache; /* hashes of prompt prefixes, latest first */
	GHashTable *prompt_hashes; /* hashes of the prompts that ran */
	struct event *step_timer;
	struct event *load_report_timer;
	bool step_scheduled;
	int64_t committed_bytes; /* bytes committed: items, and runs up to their limit */
	int64_t highest_fence; /* the highest seen */
	json_t *load_report; /* the last load report */
	double load_report_at;
#define DEF(name) int64_t name;
	ENGINE_COUNTERS(DEF)
#undef DEF
};

/** Commits memory; false, and counted, when there is not so much left. */
bool engine_commit_memory(struct engine *e, int64_t bytes);

/** The resident item of this name, or NULL. */
struct item *engine_find_resident(struct engine *e, const char *name);

/** Serves POST /engine/orders. */
void engine_handle_order(void *self, struct exchange *x);

/** "items" of the inventory. */
json_t *engine_items_json(const struct engine *e);

void item_free(void *item);

#endif
