/*
 * A local copy of the accepted configuration in the table, kept current by
 * audit rows. A snapshot read in pages may mix revisions; applying the audit
 * rows written during the read makes it consistent.
 */
#ifndef PIMENTOFORD_MIRROR_H
#define PIMENTOFORD_MIRROR_H

#include "pimentoford/rows.h"

PF_BEGIN_DECLS

/** Zeroed it mirrors an empty table. */
struct pf_mirror {
	uint64_t revision; /* of the configuration that it holds */
	struct pf_records live;
	struct pf_records deleted; /* tombstones, kept for their stamps */
};

/** Frees the records and leaves the mirror of an empty table. */
void pf_mirror_clear(struct pf_mirror *m);

/**
 * Adds one record row of a snapshot. 0, or -1 when the row is malformed or
 * without memory.
 */
int pf_mirror_add(struct pf_mirror *m, const struct pf_table_row *row);

/**
 * Applies the audit row of the next revision. -1 when the row is malformed or
 * of another revision, or without memory; the caller must then clear the
 * mirror and read a new snapshot.
 */
int pf_mirror_apply(struct pf_mirror *m, const struct pf_table_row *audit);

/** The record, live or deleted, or NULL; it belongs to @m. */
const struct pf_record *pf_mirror_find(const struct pf_mirror *m,
				       enum pf_kind kind, struct pf_str name);

PF_END_DECLS

#endif
