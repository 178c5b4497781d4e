/*
 * The operators' records as texts: reading TOML in every supported schema,
 * the canonical text that the table keeps, sets of records, their difference,
 * and building the inner form of a whole set with all findings at once.
 */
#ifndef PIMENTOFORD_RECORDS_H
#define PIMENTOFORD_RECORDS_H

#include "pimentoford/findings.h"
#include "pimentoford/record.h"

PF_BEGIN_DECLS

/* DEF(name, "text"): in the order in which sets are sorted. */
#define PF_KINDS(DEF)                 \
	DEF(DEPLOYMENT, "deployment") \
	DEF(MODEL, "model")           \
	DEF(ADAPTER, "adapter")       \
	DEF(CALLER, "caller")         \
	DEF(ENDPOINT, "endpoint")     \
	DEF(SERVICE, "service")

enum pf_kind {
#define DEF(name, text) PF_KIND_##name,
	PF_KINDS(DEF)
#undef DEF
		PF_KIND_COUNT
};

/** Schema versions that this release reads and writes. */
#define PF_SCHEMA_MIN 1
#define PF_SCHEMA_MAX 2

/** Records in one set. */
#define PF_RECORDS_MAX 100000

const char *pf_kind_text(enum pf_kind k);

/** 0, or -1 when @s names no kind. */
int pf_kind_parse(struct pf_str s, enum pf_kind *k);

/** Longest name of a record, an operator, a region or a change, in bytes. */
#define PF_LABEL_MAX 130

/** The accepted change that last wrote something. */
struct pf_stamp {
	uint64_t revision; /* of the configuration that it made */
	char change[PF_LABEL_MAX];
	char who[PF_LABEL_MAX];
};

/**
 * One record, known by (kind, name). An adapter's name is "MODEL:ADAPTER";
 * the deployment's is "deployment". All strings are owned.
 */
struct pf_record {
	enum pf_kind kind;
	uint32_t schema;
	char *name;
	char *text; /* canonical TOML; reads back as the same record */
	char *source; /* where it was read, for findings */
	uint32_t line;
	uint64_t revision; /* of its table row; 0: not from the table */
	struct pf_stamp stamp; /* set when it comes from the table */
};

/** A set, sorted by kind and name; all zero is the empty set. */
struct pf_records {
	struct pf_record *v;
	size_t n;
	size_t cap;
};

/**
 * Reads records in any supported schema and adds them to @out. A name given
 * twice is a finding. 0, or -1 when anything was found.
 */
int pf_records_parse(struct pf_str text, const char *source,
		     struct pf_records *out, struct pf_findings *f);

void pf_records_free(struct pf_records *s);

/** Frees the strings of one record and sets it to zero. */
void pf_record_clear(struct pf_record *r);

const struct pf_record *pf_records_find(const struct pf_records *s,
					enum pf_kind kind, struct pf_str name);

/** Adds or replaces a copy of @r. 0, or -1 when full or without memory. */
int pf_records_put(struct pf_records *s, const struct pf_record *r);

/** Removes a record; 0, or -1 when it isn't there. */
int pf_records_del(struct pf_records *s, enum pf_kind kind, struct pf_str name);

/** Copies a set. 0, or -1 with @to empty. */
int pf_records_copy(struct pf_records *to, const struct pf_records *from);

/** Adds the canonical text of the set, which parses as the same set. */
struct pf_text;
void pf_records_text(const struct pf_records *s, struct pf_text *t);

/**
 * Validates the whole set and converts it to the inner form: references,
 * ids and keys, shares, memory for every declared model with its adapters.
 * 0 with *@out owned by the caller, or -1 when anything was found.
 */
int pf_records_build(const struct pf_records *s, uint64_t revision,
		     struct pf_findings *f, struct pf_config **out);

/** One difference; @before or @after is NULL for an added or removed one. */
typedef void pf_records_diff_fn(void *ctx, const struct pf_record *before,
				const struct pf_record *after);

/** Calls @fn for each record whose canonical text differs. */
void pf_records_diff(const struct pf_records *a, const struct pf_records *b,
		     pf_records_diff_fn *fn, void *ctx);

PF_END_DECLS

#endif
