/*
 * The platform's transactional table as cores see it: they emit transactions
 * and scans and are told the results later. An answer can be lost after the
 * write took effect: that result is PF_TABLE_UNKNOWN, and reading settles it.
 */
#ifndef PIMENTOFORD_TABLE_H
#define PIMENTOFORD_TABLE_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** The row @key must be at @revision; 0: absent. */
struct pf_table_check {
	struct pf_str key;
	uint64_t revision;
};

struct pf_table_put {
	struct pf_str key;
	struct pf_str value;
};

/** All checks hold or nothing is written. Borrowed by whoever receives it. */
struct pf_table_txn {
	const struct pf_table_check *checks;
	size_t n_checks;
	const struct pf_table_put *puts;
	size_t n_puts;
	const struct pf_str *deletes;
	size_t n_deletes;
};

struct pf_table_row {
	struct pf_str key;
	struct pf_str value;
	uint64_t revision;
};

enum pf_table_status {
	PF_TABLE_OK,
	PF_TABLE_CONFLICT, /* a check failed; nothing was written */
	PF_TABLE_LIMITED, /* over the budget; nothing was written */
	PF_TABLE_UNKNOWN, /* no answer: it may or may not have taken effect */
};

PF_END_DECLS

#endif
