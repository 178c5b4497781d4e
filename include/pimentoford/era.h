/*
 * Eras of the store. The store may come back from a copy some seconds old:
 * what was written since is gone and its revisions are given out again. Its era
 * rises by one each time and is stated in every answer.
 */
#ifndef PIMENTOFORD_ERA_H
#define PIMENTOFORD_ERA_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** Not stated or not readable; less than all eras. */
#define PF_ERA_UNKNOWN ((int64_t)-1)

/** Parses the decimal digits of an era; PF_ERA_UNKNOWN if it is malformed. */
int64_t pf_era_parse(struct pf_str text);

/** A point in the history of the store. */
struct pf_version {
	int64_t era;
	uint64_t revision;
};

/** Whether @a is newer than @b: revisions compare within an era only. */
bool pf_version_newer(struct pf_version a, struct pf_version b);

/** The eras of one store, as seen by one process. */
struct pf_eras {
	int64_t newest; /* in force */
	uint32_t n_restores; /* changes of `newest` once it was known */
	uint32_t n_falls; /* answers of an older era to calls of a newer one */
	uint32_t n_falls_in_row;
};

void pf_eras_init(struct pf_eras *e);

enum pf_era_change {
	PF_ERA_SAME, /* also when unknown */
	PF_ERA_RESTORED, /* `newest` changed: all state must be read again */
	PF_ERA_OVERTAKEN, /* an older era; the call was sent before the change */
	PF_ERA_FELL, /* an older era, though the call was sent after the change */
};

/**
 * Records the era @era of an answer to a call that was sent while @sent_in was
 * the newest one. Eras never fall; if only older ones are answered for some
 * time, the newer one was an error and the older one is taken as a restore.
 */
enum pf_era_change pf_eras_note(struct pf_eras *e, int64_t sent_in,
				int64_t era);

PF_END_DECLS

#endif
