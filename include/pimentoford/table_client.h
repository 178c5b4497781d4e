/*
 * The product's table in the platform's store. An answer that is lost after the
 * request was sent is PF_TABLE_UNKNOWN; reading settles it. Callbacks never
 * run inside the calls.
 */
#ifndef PIMENTOFORD_TABLE_CLIENT_H
#define PIMENTOFORD_TABLE_CLIENT_H

#include "pimentoford/table.h"

struct event_base;

PF_BEGIN_DECLS

struct pf_table;

struct pf_table_opts {
	struct event_base *base;
	const char *addr; /* IP:PORT of the service */
	uint32_t calls_max; /* at once */
	pf_ms timeout;
	size_t body_max; /* of an answer */
};

/** NULL on a bad address or when there is no memory. */
struct pf_table *pf_table_new(const struct pf_table_opts *o);
void pf_table_free(struct pf_table *t);

/**
 * The result of a transaction: the commit's revision, or on a conflict the
 * row that failed its check and its revision.
 */
struct pf_table_txn_result {
	enum pf_table_status status;
	uint64_t revision;
	struct pf_str key; /* PF_TABLE_CONFLICT only; valid in the call */
};

typedef void (*pf_table_txn_cb)(void *ctx, const struct pf_table_txn_result *r);

/** @id is for logs. 0, or -1 when it cannot be sent; then no callback. */
int pf_table_txn(struct pf_table *t, const char *id,
		 const struct pf_table_txn *txn, pf_table_txn_cb cb, void *ctx);

/**
 * A read: rows in key order, valid in the call. A row that is absent is no
 * row. For reads PF_TABLE_UNKNOWN means that nothing was learnt.
 */
struct pf_table_rows {
	enum pf_table_status status;
	const struct pf_table_row *rows;
	size_t n;
	uint64_t revision; /* of a scan: the table's commit counter */
};

typedef void (*pf_table_rows_cb)(void *ctx, const struct pf_table_rows *r);

int pf_table_get(struct pf_table *t, struct pf_str key, pf_table_rows_cb cb,
		 void *ctx);

/** Rows whose key starts with @prefix and is above @after. */
int pf_table_scan(struct pf_table *t, struct pf_str prefix, struct pf_str after,
		  uint32_t limit, pf_table_rows_cb cb, void *ctx);

PF_END_DECLS

#endif
