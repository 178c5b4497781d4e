/*
 * The table rows that hold the configuration, as JSON:
 *
 *   config/head         revision and id of the last accepted change
 *   record/KIND/NAME    canonical text of a record and who wrote it; empty
 *                       text: deleted
 *   audit/REVISION      one accepted change: operator, region, time, the
 *                       records before and after
 *   change/ID           outcome of a change; makes resends idempotent
 */
#ifndef PIMENTOFORD_ROWS_H
#define PIMENTOFORD_ROWS_H

#include "pimentoford/records.h"
#include "pimentoford/table.h"

PF_BEGIN_DECLS

#define PF_ROW_HEAD "config/head"
#define PF_ROW_RECORDS "record/"
#define PF_ROW_AUDITS "audit/"
#define PF_ROW_CHANGES "change/"
#define PF_ROW_KEY_MAX 256

/** Write a key into @buf of PF_ROW_KEY_MAX bytes; the result borrows it. */
struct pf_str pf_row_record_key(char *buf, enum pf_kind kind, const char *name);
struct pf_str pf_row_audit_key(char *buf, uint64_t revision);
struct pf_str pf_row_change_key(char *buf, const char *id);

/** The last accepted change; an absent row means revision 0. */
struct pf_head {
	uint64_t revision;
	char change[PF_LABEL_MAX];
};

/** The pf_row_*_text() results are freed by the caller; NULL: no memory. */
char *pf_row_head_text(const struct pf_head *h);
/** 0, or -1 when the value is malformed. */
int pf_row_head_parse(struct pf_str value, struct pf_head *h);

char *pf_row_record_text(const struct pf_record *r);
/**
 * Parses a record row into @r, to be freed with pf_record_clear(); an empty
 * `text` means that the record was deleted. 0, or -1 when it is malformed.
 */
int pf_row_record_parse(const struct pf_table_row *row, struct pf_record *r);

/** One changed record of an audit row. */
struct pf_audit_item {
	enum pf_kind kind;
	char *name;
	char *before; /* canonical text; NULL: the record was added */
	char *after; /* canonical text; NULL: the record was deleted */
};

/** One accepted change. */
struct pf_audit {
	struct pf_stamp stamp;
	char region[PF_LABEL_MAX];
	char what[PF_LABEL_MAX]; /* command, e.g. "apply", "drain engine-1" */
	pf_ms wall_time;
	struct pf_audit_item *items;
	size_t n_items;
};

char *pf_row_audit_text(const struct pf_audit *a);
/** Fills @a, to be freed with pf_audit_free(). 0, or -1 when malformed. */
int pf_row_audit_parse(struct pf_str value, struct pf_audit *a);
void pf_audit_free(struct pf_audit *a);

/** The outcome of a change. */
struct pf_change_row {
	char closed[PF_LABEL_MAX]; /* why it had no effect; empty: accepted */
	uint64_t revision; /* accepted: configuration that contains it */
	uint64_t digest; /* of the request, to detect reuse of the id */
};

char *pf_row_change_text(const struct pf_change_row *c);
/** 0, or -1 when the value is malformed. */
int pf_row_change_parse(struct pf_str value, struct pf_change_row *c);

PF_END_DECLS

#endif
