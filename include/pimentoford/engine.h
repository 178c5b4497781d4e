/*
 * The engines' interface: bodies of runs and orders, the stream of a run and
 * the reports. Names here are those of items; ids are the cores' matter.
 */
#ifndef PIMENTOFORD_ENGINE_H
#define PIMENTOFORD_ENGINE_H

#include "pimentoford/agent.h"
#include "pimentoford/text.h"

PF_BEGIN_DECLS

struct pf_engine_run {
	const char *name; /* its name at the engine */
	const char *model; /* NAME@VERSION */
	const char *adapter; /* MODEL:ADAPTER; "": none */
	struct pf_str prompt;
	struct pf_str prior; /* output so far, `offset` tokens */
	uint32_t offset;
	uint32_t limit;
	uint8_t priority;
};

void pf_engine_run_body(const struct pf_engine_run *r, struct pf_text *out);

struct pf_engine_order {
	uint64_t fence;
	uint64_t order;
	bool load; /* false: unload */
	const char *item;
	int64_t bytes;
};

void pf_engine_order_body(const struct pf_engine_order *o, struct pf_text *out);

/** The word in `{"error":"..."}`, copied; "" when there is none. */
void pf_engine_error_code(struct pf_str body, char *out, size_t cap);

enum pf_engine_event_type {
	PF_ENGINE_TOKEN, /* u.token */
	PF_ENGINE_AT_LIMIT, /* stands at u.total tokens */
	PF_ENGINE_END, /* u.end; the last event */
};

struct pf_engine_event {
	enum pf_engine_event_type type;
	union {
		struct {
			uint32_t offset;
			struct pf_str text; /* valid in the call */
		} token;
		uint32_t total;
		struct {
			enum pf_finish_reason finish_reason;
			uint32_t total;
		} end;
	} u;
};

/** Reads a run's stream, in whatever pieces it comes. */
struct pf_engine_stream {
	struct pf_text data; /* the event at hand */
	struct pf_text line; /* the line at hand */
	bool has_data;
	bool ended; /* the end event came */
	bool malformed;
	void (*on_event)(void *ctx, const struct pf_engine_event *e);
	void *ctx;
};

/** The longest event that is read. */
#define PF_ENGINE_EVENT_MAX (1 << 20)

/**
 * Takes @n bytes. 0, or -1 when the stream is malformed; then it stays so.
 * Bytes behind the end event are ignored.
 */
int pf_engine_stream_feed(struct pf_engine_stream *s, const char *p, size_t n);
void pf_engine_stream_free(struct pf_engine_stream *s);

struct pf_engine_item {
	char *name; /* owned */
	enum pf_item_state state;
	int64_t bytes;
};

/** Everything an engine holds; release with pf_engine_inventory_free(). */
struct pf_engine_inventory {
	char *boot_id; /* changes with each start of the engine */
	int64_t memory_bytes;
	int64_t used_bytes;
	struct pf_engine_item *items;
	size_t n_items;
	char **runs;
	size_t n_runs;
};

/** 0, or -1 when @body is not an inventory; @out is then empty. */
int pf_engine_inventory_parse(struct pf_str body,
			      struct pf_engine_inventory *out);
void pf_engine_inventory_free(struct pf_engine_inventory *inv);

PF_END_DECLS

#endif
