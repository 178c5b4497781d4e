/*
 * Client for pimentoford's table in the platform's store. PF_TABLE_UNKNOWN
 * means that the reply was lost: a transaction is in doubt until a read
 * shows whether it committed. Callbacks never run inside the calls.
 */
#ifndef PIMENTOFORD_TABLE_CLIENT_H
#define PIMENTOFORD_TABLE_CLIENT_H

#include "pimentoford/table.h"

struct event_base;
struct pf_log;

PF_BEGIN_DECLS

struct pf_table;

struct pf_table_opts {
	struct event_base *base;
	const char *addr; /* IP:PORT of the store */
	uint32_t calls_max; /* concurrent calls */
	pf_ms timeout; /* per call */
	size_t body_max; /* bytes of a reply */
	const struct pf_log *log; /* of eras; borrowed; NULL: none */
};

/** Returns NULL on a malformed address or when out of memory. */
struct pf_table *pf_table_new(const struct pf_table_opts *o);
void pf_table_free(struct pf_table *t);
/** The newest era in the replies so far, or PF_ERA_UNKNOWN. */
int64_t pf_table_era(const struct pf_table *t);

struct pf_table_txn_result {
	enum pf_table_status status;
	uint64_t revision; /* of the commit, or of the conflicting row */
	struct pf_str key; /* conflicting row; valid during the callback */
};

typedef void (*pf_table_txn_cb)(void *ctx, const struct pf_table_txn_result *r);

/**
 * Starts a transaction. @id is not used. Returns 0, or -1 when it cannot be
 * sent; then @cb is not called.
 */
int pf_table_txn(struct pf_table *t, const char *id,
		 const struct pf_table_txn *txn, pf_table_txn_cb cb, void *ctx);

/**
 * Result of a read: rows in key order, valid during the callback. A get of an
 * absent key returns no rows. PF_TABLE_UNKNOWN: the read failed.
 */
struct pf_table_rows {
	enum pf_table_status status;
	const struct pf_table_row *rows;
	size_t n;
	uint64_t revision; /* revision of the store at the read */
};

typedef void (*pf_table_rows_cb)(void *ctx, const struct pf_table_rows *r);

/** Reads one row. Returns 0, or -1 when it cannot be sent. */
int pf_table_get(struct pf_table *t, struct pf_str key, pf_table_rows_cb cb,
		 void *ctx);

/**
 * Reads up to @limit rows whose key starts with @prefix and sorts after
 * @after. Returns 0, or -1 when it cannot be sent.
 */
int pf_table_scan(struct pf_table *t, struct pf_str prefix, struct pf_str after,
		  uint32_t limit, pf_table_rows_cb cb, void *ctx);

PF_END_DECLS

#endif
