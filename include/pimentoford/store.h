/*
 * Client of the platform's transactional store: rows in tables, conditional
 * transactions and feeds of changes. A call without an answer may have taken
 * effect, or may do so later while its conditions hold; reading settles it.
 * Callbacks never run inside the calls.
 */
#ifndef PIMENTOFORD_STORE_H
#define PIMENTOFORD_STORE_H

#include "pimentoford/base.h"

struct event_base;

PF_BEGIN_DECLS

struct pf_store;

struct pf_store_opts {
	struct event_base *base;
	const char *addr; /* IP:PORT */
	uint32_t calls_max; /* at once */
	pf_ms timeout; /* of a call, beyond what it asks to wait */
	size_t body_max; /* of an answer */
};

/** NULL on a bad address or when there is no memory. */
struct pf_store *pf_store_new(const struct pf_store_opts *o);
void pf_store_free(struct pf_store *s);

/** A row's place. */
struct pf_store_place {
	struct pf_str table;
	struct pf_str part; /* may be empty */
	struct pf_str key;
};

struct pf_store_row {
	struct pf_str key;
	struct pf_str value;
	uint64_t revision;
	bool deleted; /* in feeds only */
	bool unreadable; /* the value can't be decoded; it is empty */
};

enum pf_store_status {
	PF_STORE_OK,
	PF_STORE_CONFLICT, /* a condition failed; nothing was written */
	PF_STORE_REFUSED, /* nothing was done: over a rate, or away */
	PF_STORE_TRIMMED, /* feeds: the history is gone; read anew */
	PF_STORE_UNKNOWN, /* no answer */
};

/** Everything is valid in the call. */
struct pf_store_answer {
	enum pf_store_status status;
	const struct pf_store_row *rows; /* of a conflict: what there is */
	size_t n;
	uint64_t revision; /* newest of the store, or of the commit */
	bool more; /* reads: rows were left out */
};

typedef void (*pf_store_cb)(void *ctx, const struct pf_store_answer *a);

/**
 * Rows of a table's part from key @from on and below @to, unless it is empty.
 * 0, or -1: not sent.
 */
int pf_store_read(struct pf_store *s, struct pf_str table, struct pf_str part,
		  struct pf_str from, struct pf_str to, uint32_t limit,
		  pf_store_cb cb, void *ctx);

/** Changes after @after, as soon as there are any or @wait is over. */
int pf_store_feed(struct pf_store *s, struct pf_str table, uint64_t after,
		  pf_ms wait, pf_store_cb cb, void *ctx);

struct pf_store_check {
	struct pf_store_place place;
	uint64_t revision; /* 0: there must be no such row */
};

struct pf_store_put {
	struct pf_store_place place;
	struct pf_str value;
};

/** All in one part. All checks hold or nothing is written. */
struct pf_store_txn {
	const struct pf_store_check *checks;
	size_t n_checks;
	const struct pf_store_put *puts;
	size_t n_puts;
	const struct pf_store_place *deletes;
	size_t n_deletes;
};

int pf_store_commit(struct pf_store *s, const struct pf_store_txn *t,
		    pf_store_cb cb, void *ctx);

PF_END_DECLS

#endif
