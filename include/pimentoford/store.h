/*
 * Client of the platform's transactional store: rows in tables, conditional
 * transactions and change feeds. A commit without a reply is in doubt: it may
 * have taken effect, or may yet do so while its conditions hold; a read tells.
 * Callbacks never run before the call that takes them has returned.
 */
#ifndef PIMENTOFORD_STORE_H
#define PIMENTOFORD_STORE_H

#include "pimentoford/era.h"
#include "pimentoford/log.h"

struct event_base;

PF_BEGIN_DECLS

struct pf_store;

struct pf_store_opts {
	struct event_base *base;
	const char *addr; /* IP:PORT */
	uint32_t calls_max; /* in flight */
	pf_ms timeout; /* of a call, on top of the wait of a feed */
	size_t body_max; /* bytes of a reply */
	const struct pf_log *log; /* borrowed; NULL: nothing is logged */
	/*
	 * The store came back from an older copy. Runs before the callback of
	 * the answer that shows it. May be NULL.
	 */
	void (*on_restore)(void *ctx, int64_t old_era, int64_t era);
	void *ctx;
};

/** NULL on a bad address or without memory. */
struct pf_store *pf_store_new(const struct pf_store_opts *o);
void pf_store_free(struct pf_store *s);

/** The eras in the answers so far. */
const struct pf_eras *pf_store_eras(const struct pf_store *s);
/** Answers with an unreadable era. */
uint32_t pf_store_bad_eras(const struct pf_store *s);

/** The address of a row. */
struct pf_store_place {
	struct pf_str table;
	struct pf_str part; /* partition; may be empty */
	struct pf_str key;
};

struct pf_store_row {
	struct pf_str key;
	struct pf_str value;
	uint64_t revision;
	bool deleted; /* feeds only */
	bool unreadable; /* not decodable; the value is empty */
};

enum pf_store_status {
	PF_STORE_OK,
	PF_STORE_CONFLICT, /* a condition failed; nothing was written */
	PF_STORE_REFUSED, /* rate limit or store unavailable; nothing was done */
	PF_STORE_TRIMMED, /* feeds: history was trimmed; read the rows again */
	/* No reply, or one of an older era than another answer: in doubt. */
	PF_STORE_UNKNOWN,
};

/** Valid only during the callback. */
struct pf_store_answer {
	enum pf_store_status status;
	const struct pf_store_row *rows; /* on conflict: the current rows */
	size_t n;
	uint64_t revision; /* latest of the store; for a commit, its own */
	bool more; /* reads: there are more rows */
	pf_ms now; /* by the store's clock; 0: not stated */
	int64_t era; /* as stated in the answer, or PF_ERA_UNKNOWN */
};

typedef void (*pf_store_cb)(void *ctx, const struct pf_store_answer *a);

/**
 * Reads up to @limit rows of a partition with keys from @from up to, but not
 * including, @to; an empty @to sets no bound. 0, or -1 when it was not sent.
 */
int pf_store_read(struct pf_store *s, struct pf_str table, struct pf_str part,
		  struct pf_str from, struct pf_str to, uint32_t limit,
		  pf_store_cb cb, void *ctx);

/**
 * Long-polls for changes after revision @after; replies as soon as there are
 * any, or after @wait. 0, or -1 when it was not sent.
 */
int pf_store_feed(struct pf_store *s, struct pf_str table, uint64_t after,
		  pf_ms wait, pf_store_cb cb, void *ctx);

struct pf_store_check {
	struct pf_store_place place;
	uint64_t revision; /* 0: the row must not exist */
};

struct pf_store_put {
	struct pf_store_place place;
	struct pf_str value;
};

/** Atomic: if a check fails, nothing is written. All rows: one partition. */
struct pf_store_txn {
	const struct pf_store_check *checks;
	size_t n_checks;
	const struct pf_store_put *puts;
	size_t n_puts;
	const struct pf_store_place *deletes;
	size_t n_deletes;
};

/** Sends a transaction. 0, or -1 when it was not sent. */
int pf_store_commit(struct pf_store *s, const struct pf_store_txn *t,
		    pf_store_cb cb, void *ctx);

PF_END_DECLS

#endif
