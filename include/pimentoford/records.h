/*
 * Records as operators write them: parsing TOML in every supported schema, the
 * canonical text stored in the table, sorted sets of records and their
 * differences, and validation and conversion of a set to a pf_config.
 */
#ifndef PIMENTOFORD_RECORDS_H
#define PIMENTOFORD_RECORDS_H

#include "pimentoford/findings.h"
#include "pimentoford/record.h"

PF_BEGIN_DECLS

/* DEF(name, "text"), in the sort order of sets. */
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

/** Supported schema versions. */
#define PF_SCHEMA_MIN 1
#define PF_SCHEMA_MAX 2

/** Maximum number of records in a set. */
#define PF_RECORDS_MAX 100000

const char *pf_kind_text(enum pf_kind k);

/** 0, or -1 when @s names no kind. */
int pf_kind_parse(struct pf_str s, enum pf_kind *k);

/** Buffer size of a record, operator, region or change name. */
#define PF_LABEL_MAX 130

/** The accepted change that last wrote a record. */
struct pf_stamp {
	uint64_t revision; /* configuration revision that it created */
	char change[PF_LABEL_MAX];
	char who[PF_LABEL_MAX]; /* the operator */
};

/**
 * One record, identified by (kind, name). The name of an adapter is
 * "MODEL:ADAPTER", that of the deployment "deployment". Strings are owned.
 */
struct pf_record {
	enum pf_kind kind;
	uint32_t schema;
	char *name;
	char *text; /* canonical TOML; parses as the same record */
	char *source; /* file name, for findings */
	uint32_t line;
	uint64_t revision; /* of the table row; 0: not from the table */
	struct pf_stamp stamp; /* set for records from the table */
};

/** A set of records sorted by kind and name; zeroed it is empty. */
struct pf_records {
	struct pf_record *v;
	size_t n;
	size_t cap;
};

/**
 * Parses records in any supported schema and adds them to @out. A duplicate
 * name is a finding. 0, or -1 if there were findings.
 */
int pf_records_parse(struct pf_str text, const char *source,
		     struct pf_records *out, struct pf_findings *f);

/** Frees all records and leaves an empty set. */
void pf_records_free(struct pf_records *s);

/** Frees the strings of a record and zeroes it. */
void pf_record_clear(struct pf_record *r);

/** NULL when absent; the result belongs to @s. */
const struct pf_record *pf_records_find(const struct pf_records *s,
					enum pf_kind kind, struct pf_str name);

/** Inserts or replaces a copy of @r. 0, or -1 when full or out of memory. */
int pf_records_put(struct pf_records *s, const struct pf_record *r);

/** Removes a record. 0, or -1 when absent. */
int pf_records_del(struct pf_records *s, enum pf_kind kind, struct pf_str name);

/** Copies a set. 0, or -1 without memory, with @to empty. */
int pf_records_copy(struct pf_records *to, const struct pf_records *from);

struct pf_text;
/** Appends the canonical text of the set, which parses as the same set. */
void pf_records_text(const struct pf_records *s, struct pf_text *t);

/**
 * Validates the whole set and converts it to a pf_config. Checks references,
 * duplicate ids, keys and addresses, traffic shares, and that all models with
 * their adapters fit the engines. 0 with *@out owned by the caller, or -1 if
 * there were findings.
 */
int pf_records_build(const struct pf_records *s, uint64_t revision,
		     struct pf_findings *f, struct pf_config **out);

/** One difference; NULL @before: record added, NULL @after: record removed. */
typedef void pf_records_diff_fn(void *ctx, const struct pf_record *before,
				const struct pf_record *after);

/** Calls @fn for each record that was added, removed or changed its text. */
void pf_records_diff(const struct pf_records *a, const struct pf_records *b,
		     pf_records_diff_fn *fn, void *ctx);

PF_END_DECLS

#endif
