/*
 * HTTP interface of the engines: JSON bodies of runs and orders, the event
 * stream of a run, and the inventory. Models and adapters are identified by
 * name here; the cores use ids.
 */
#ifndef PIMENTOFORD_ENGINE_H
#define PIMENTOFORD_ENGINE_H

#include "pimentoford/agent.h"
#include "pimentoford/text.h"

PF_BEGIN_DECLS

struct pf_engine_run {
	const char *name; /* run name at the engine */
	const char *model; /* NAME@VERSION */
	const char *adapter; /* MODEL:ADAPTER; "": none */
	struct pf_str prompt;
	struct pf_str prior; /* output so far: `offset` tokens */
	uint32_t offset;
	uint32_t limit; /* output tokens after which the run pauses */
	uint8_t priority;
};

/** Writes the JSON body of POST /engine/run. */
void pf_engine_run_body(const struct pf_engine_run *r, struct pf_text *out);

struct pf_engine_order {
	uint64_t fence; /* fencing token: the agent's incarnation */
	uint64_t order;
	bool load; /* false: unload */
	const char *item;
	int64_t bytes;
};

/** Writes the JSON body of POST /engine/orders. */
void pf_engine_order_body(const struct pf_engine_order *o, struct pf_text *out);

/** Copies the code in `{"error":"..."}` to @out; "" if there is none. */
void pf_engine_error_code(struct pf_str body, char *out, size_t cap);

enum pf_engine_event_type {
	PF_ENGINE_TOKEN, /* u.token */
	PF_ENGINE_AT_LIMIT, /* run paused at its limit, u.total tokens */
	PF_ENGINE_END, /* u.end; last event of the stream */
};

struct pf_engine_event {
	enum pf_engine_event_type type;
	union {
		struct {
			uint32_t offset; /* output index */
			struct pf_str text; /* valid during the callback */
		} token;
		uint32_t total;
		struct {
			enum pf_finish_reason finish_reason;
			uint32_t total;
		} end;
	} u;
};

/** Parses the server-sent events of a run. */
struct pf_engine_stream {
	struct pf_text data; /* data lines of the current event */
	struct pf_text line; /* incomplete current line */
	bool has_data;
	bool ended; /* PF_ENGINE_END was received */
	bool malformed;
	void (*on_event)(void *ctx, const struct pf_engine_event *e);
	void *ctx;
};

/** Longest line or event in bytes; beyond it the stream is malformed. */
#define PF_ENGINE_EVENT_MAX (1 << 20)

/**
 * Parses @n more bytes and calls `on_event` for each complete event. Returns
 * 0, or -1 once the stream is malformed. Bytes after the end event are
 * ignored.
 */
int pf_engine_stream_feed(struct pf_engine_stream *s, const char *p, size_t n);
void pf_engine_stream_free(struct pf_engine_stream *s);

struct pf_engine_item {
	char *name; /* owned */
	enum pf_item_state state;
	int64_t bytes;
};

/** All that an engine holds. Free it with pf_engine_inventory_free(). */
struct pf_engine_inventory {
	char *boot_id; /* differs for each start of the engine */
	int64_t memory_bytes;
	int64_t used_bytes;
	struct pf_engine_item *items;
	size_t n_items;
	char **runs; /* run names */
	size_t n_runs;
};

/** Returns 0, or -1 if @body is not an inventory; @out is then empty. */
int pf_engine_inventory_parse(struct pf_str body,
			      struct pf_engine_inventory *out);
void pf_engine_inventory_free(struct pf_engine_inventory *inv);

PF_END_DECLS

#endif
