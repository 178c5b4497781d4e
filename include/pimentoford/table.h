/*
 * The platform's transactional table as cores use it: they emit transactions
 * and scans and receive the results later. If the reply to a write is lost,
 * the result is PF_TABLE_UNKNOWN and a read tells whether it took effect.
 */
#ifndef PIMENTOFORD_TABLE_H
#define PIMENTOFORD_TABLE_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** Condition: the row @key is at @revision; 0: it doesn't exist. */
struct pf_table_check {
	struct pf_str key;
	uint64_t revision;
};

struct pf_table_put {
	struct pf_str key;
	struct pf_str value;
};

/** Atomic: if a check fails, nothing is written. The receiver borrows it. */
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
	PF_TABLE_LIMITED, /* over the request rate; nothing was written */
	PF_TABLE_UNKNOWN, /* no reply: it may have taken effect */
};

PF_END_DECLS

#endif
