/*
 * Internals of the engine stand-in: memory and items (engine_items.c), runs
 * and the batch (engine.c).
 */
#ifndef PIMENTO_STANDIN_ENGINE_H
#define PIMENTO_STANDIN_ENGINE_H

#include "standin/answer.h"
#include "standin/roles.h"

/** A model version or an adapter that holds memory. */
struct item {
	struct engine *engine;
	char *name;
	const char *state; /* "loading", "resident" or "unloading" */
	int64_t bytes;
	struct exchange *order; /* the pending order, or NULL */
	struct event *timer;
	struct evhttp_connection *store_conn;
};

struct run {
	struct engine *engine;
	char *id;
	char *model;
	char *adapter;
	struct exchange *stream; /* NULL after a disconnect */
	struct answer answer;
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* includes those before a resume offset */
	uint32_t output_limit;
	int priority; /* 0: highest */
	bool prefix_cached; /* prefill skips the prefix */
	bool in_batch;
	bool limit_reported; /* "at_limit" was sent for output_limit */
	double ready_at; /* earliest time of the next token, ms */
};

/* DEF(name): counters at /admin/state. */
#define ENGINE_COUNTERS(DEF)                                      \
	DEF(peak) /* maximum of committed_bytes */                \
	DEF(overcommit) /* requests refused for lack of memory */ \
	DEF(started)                                              \
	DEF(ended)                                                \
	DEF(cancelled)                                            \
	DEF(tokens)                                               \
	DEF(loads)                                                \
	DEF(unloads)                                              \
	DEF(fenced)                                               \
	DEF(prefix_hits)                                          \
	DEF(prior_mismatch) /* resumed with a wrong prior text */

struct engine {
	struct server *server;
	const struct options *opts;
	char boot_id[17];
	GHashTable *items; /* name -> struct item, owned */
	GHashTable *runs; /* id -> struct run */
	GPtrArray *run_list; /* struct run, owned, oldest first */
	GQueue prefix_cache; /* hashes, most recently used first */
	GHashTable *prompt_hashes; /* prompts that ran, a bounded number */
	struct event *step_timer;
	struct event *load_report_timer;
	bool step_scheduled;
	int64_t committed_bytes; /* items, and runs up to their output limit */
	int64_t highest_fence; /* highest fencing token seen in an order */
	json_t *load_report; /* the latest */
	double load_report_at;
#define DEF(name) int64_t name;
	ENGINE_COUNTERS(DEF)
#undef DEF
};

/** Commits memory. Returns false and counts an overcommit if it is full. */
bool engine_commit_memory(struct engine *e, int64_t bytes);

/** Finds a resident item; NULL if there is none. */
struct item *engine_find_resident(struct engine *e, const char *name);

/** Handles POST /engine/orders. */
void engine_handle_order(void *self, struct exchange *x);

/** The "items" array of the inventory. */
json_t *engine_items_json(const struct engine *e);

void item_free(void *item);

#endif
