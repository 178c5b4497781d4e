/* An in-memory transactional table for fuzz targets, tests and benches. */
#ifndef FUZZ_FAKE_TABLE_H
#define FUZZ_FAKE_TABLE_H

#include "pimentoford/table.h"

PF_BEGIN_DECLS

struct fake_table;

struct fake_table *fake_table_new(void);
void fake_table_free(struct fake_table *t);
/** A copy, to restore from: its revisions go on from those of @t. */
struct fake_table *fake_table_copy(const struct fake_table *t);

/**
 * Applies @txn and sets *@revision, or on CONFLICT sets *@failed to the index of
 * the first failed check.
 */
enum pf_table_status fake_table_txn(struct fake_table *t,
				    const struct pf_table_txn *txn,
				    uint32_t *failed, uint64_t *revision);

/**
 * Reads up to @max rows with @prefix above @after, in key order, borrowed until
 * the next transaction. Returns their number; *@more: there are further rows.
 */
size_t fake_table_scan(const struct fake_table *t, struct pf_str prefix,
		       struct pf_str after, struct pf_table_row *rows,
		       size_t max, bool *more);

/** Deep copy, freed with fake_txn_free(). */
struct pf_table_txn *fake_txn_copy(const struct pf_table_txn *txn);
void fake_txn_free(struct pf_table_txn *txn);

/** Transactions applied and rows put so far. */
uint64_t fake_table_commits(const struct fake_table *t);
uint64_t fake_table_puts(const struct fake_table *t);

PF_END_DECLS

#endif
