/*
 * A copy of the accepted configuration as the table holds it, kept up by
 * audit rows. A snapshot that is read in pages while changes go on becomes
 * exact once the audit rows of that time are applied.
 */
#ifndef PIMENTOFORD_MIRROR_H
#define PIMENTOFORD_MIRROR_H

#include "pimentoford/rows.h"

PF_BEGIN_DECLS

/** All zero is the mirror of an empty table. */
struct pf_mirror {
	uint64_t revision; /* of the configuration it holds */
	struct pf_records live;
	struct pf_records deleted; /* deleted records, for their stamps */
};

void pf_mirror_clear(struct pf_mirror *m);

/** Takes in one record row of a snapshot. 0, or -1 when it can't be read. */
int pf_mirror_add(struct pf_mirror *m, const struct pf_table_row *row);

/**
 * Applies the audit row of the next revision. 0, or -1 when it is another
 * revision's, can't be read, or there is no memory; the mirror is then to be
 * cleared and read anew.
 */
int pf_mirror_apply(struct pf_mirror *m, const struct pf_table_row *audit);

/** The record, live or deleted, or NULL when there never was one. */
const struct pf_record *pf_mirror_find(const struct pf_mirror *m,
				       enum pf_kind kind, struct pf_str name);

PF_END_DECLS

#endif
