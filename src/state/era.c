/* Eras of the store: order, changes and errors. */
#include "pimentoford/era.h"

/* Digits that always fit an int64_t. */
#define ERA_DIGITS_MAX 18
/* Consecutive answers of older eras until one is taken as the store's. */
#define FALLS_MAX 8

int64_t pf_era_parse(struct pf_str text)
{
	int64_t era = 0;
	size_t i;

	if (text.n == 0 || text.n > ERA_DIGITS_MAX)
		return PF_ERA_UNKNOWN;
	for (i = 0; i < text.n; i++) {
		if (text.p[i] < '0' || text.p[i] > '9')
			return PF_ERA_UNKNOWN;
		era = era * 10 + (text.p[i] - '0');
	}
	return era;
}

bool pf_version_newer(struct pf_version a, struct pf_version b)
{
	return a.era != b.era ? a.era > b.era : a.revision > b.revision;
}

void pf_eras_init(struct pf_eras *e)
{
	*e = (struct pf_eras){ .newest = PF_ERA_UNKNOWN };
}

static enum pf_era_change change_era(struct pf_eras *e, int64_t era)
{
	bool known = e->newest != PF_ERA_UNKNOWN;

	e->newest = era;
	e->n_falls_in_row = 0;
	e->n_restores += known;
	return known ? PF_ERA_RESTORED : PF_ERA_SAME;
}

enum pf_era_change pf_eras_note(struct pf_eras *e, int64_t sent_in, int64_t era)
{
	if (era == PF_ERA_UNKNOWN)
		return PF_ERA_SAME;
	if (era > e->newest)
		return change_era(e, era);
	if (era == e->newest) {
		e->n_falls_in_row = 0;
		return PF_ERA_SAME;
	}
	if (era >= sent_in)
		return PF_ERA_OVERTAKEN;
	e->n_falls++;
	if (++e->n_falls_in_row >= FALLS_MAX)
		return change_era(e, era);
	return PF_ERA_FELL;
}
