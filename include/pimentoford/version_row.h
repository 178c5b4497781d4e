/*
 * The row of the store with the history of software versions: text, one version
 * a line. All gateways read it, and write it on the condition that nobody else
 * has. Times are by the store's clock.
 */
#ifndef PIMENTOFORD_VERSION_ROW_H
#define PIMENTOFORD_VERSION_ROW_H

#include "pimentoford/gate.h"
#include "pimentoford/text.h"

PF_BEGIN_DECLS

/** Interval at which each gateway reads the row. */
#define PF_VERSION_CHECK_MS 20000

/** A version at which gateways begin streams, or began them. */
struct pf_version_entry {
	uint64_t service;
	uint64_t software;
	pf_ms ended_at; /* no gateway uses it after this; 0: in use */
};

struct pf_version_row {
	bool exists;
	int64_t era; /* of the store when it was written */
	pf_ms since; /* it lacks no version used since then; 0: ever */
	struct pf_version_entry v[PF_GATE_SOFTWARE_MAX];
	uint32_t n;
};

void pf_version_row_encode(const struct pf_version_row *r, struct pf_text *out);

/**
 * Lines of later releases are skipped. Returns 0, or -1 if it is malformed or
 * holds too many versions; *@r is then a row of no era, which proves nothing.
 */
int pf_version_row_decode(struct pf_str text, struct pf_version_row *r);

/** What a gateway knows when it writes the row. */
struct pf_version_view {
	const struct pf_gate_software *listed; /* pf_gate_listed_software() */
	uint32_t n_listed;
	int64_t era; /* of the store, now */
	pf_ms now; /* by the store's clock */
	pf_ms read_for; /* since this gateway has read all endpoints; -1: not */
	bool had_row; /* the store had one before */
};

/**
 * Adds the versions that are listed and ends those that have not been for a
 * while. Returns whether the row changed and must be written.
 */
bool pf_version_row_update(struct pf_version_row *r,
			   const struct pf_version_view *w);

/**
 * What the row proves; writes its versions to @out, at most
 * PF_GATE_SOFTWARE_MAX, which *@h refers to.
 */
void pf_version_row_history(const struct pf_version_row *r, int64_t era,
			    pf_ms now, struct pf_gate_software *out,
			    struct pf_gate_history *h);

PF_END_DECLS

#endif
