/*
 * The rows of the platform's table that hold the configuration, as JSON:
 *
 *   config/head         revision and id of the last accepted change
 *   record/KIND/NAME    a record's canonical text and who wrote it; an empty
 *                       text says that it was deleted
 *   audit/REVISION      one accepted change: who, region, when, before, after
 *   change/ID           the outcome of a change, so that a resend is harmless
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

/** Keys, written into PF_ROW_KEY_MAX bytes and borrowed as a string. */
struct pf_str pf_row_record_key(char *buf, enum pf_kind kind, const char *name);
struct pf_str pf_row_audit_key(char *buf, uint64_t revision);
struct pf_str pf_row_change_key(char *buf, const char *id);

/** The head; an absent row is revision 0. */
struct pf_head {
	uint64_t revision;
	char change[PF_LABEL_MAX];
};

/** Texts are owned by the caller; NULL without memory. */
char *pf_row_head_text(const struct pf_head *h);
/** 0, or -1 when the value can't be read. */
int pf_row_head_parse(struct pf_str value, struct pf_head *h);

char *pf_row_record_text(const struct pf_record *r);
/**
 * Reads a record's row into @r, whose strings the caller owns; an empty
 * `text` says deleted. 0, or -1 when it can't be read.
 */
int pf_row_record_parse(const struct pf_table_row *row, struct pf_record *r);

/** One record in an audit row; a NULL text says absent. */
struct pf_audit_item {
	enum pf_kind kind;
	char *name;
	char *before;
	char *after;
};

struct pf_audit {
	struct pf_stamp stamp;
	char region[PF_LABEL_MAX];
	char what[PF_LABEL_MAX]; /* "apply", or e.g. "drain engine-1" */
	pf_ms wall_time; /* wall clock */
	struct pf_audit_item *items;
	size_t n_items;
};

char *pf_row_audit_text(const struct pf_audit *a);
/** Fills @a, to be freed with pf_audit_free(). 0 or -1. */
int pf_row_audit_parse(struct pf_str value, struct pf_audit *a);
void pf_audit_free(struct pf_audit *a);

/** The outcome of a change. */
struct pf_change_row {
	/* Why the id was closed without effect; empty: it was accepted. */
	char closed[PF_LABEL_MAX];
	uint64_t revision; /* accepted: in which it is in force */
	uint64_t digest; /* of what was asked for */
};

char *pf_row_change_text(const struct pf_change_row *c);
int pf_row_change_parse(struct pf_str value, struct pf_change_row *c);

PF_END_DECLS

#endif
