/*
 * Field descriptions: map the keys of a TOML table to the members of a struct.
 * One description serves parsing with findings, writing the canonical text and
 * freeing. Used by records and by the daemons' settings.
 */
#ifndef PIMENTOFORD_FIELDS_H
#define PIMENTOFORD_FIELDS_H

#include "pimentoford/text.h"
#include "pimentoford/toml.h"

PF_BEGIN_DECLS

enum pf_field_type {
	PF_FIELD_STR, /* char *: 1 to `max` bytes */
	PF_FIELD_NAME, /* char *: letters, digits and ._- */
	PF_FIELD_ADDR, /* char *: IP:PORT */
	PF_FIELD_DIGEST, /* char *: 64 lower-case hex digits */
	PF_FIELD_U8, /* uint8_t */
	PF_FIELD_U32, /* uint32_t */
	PF_FIELD_U64, /* uint64_t */
	PF_FIELD_SIZE, /* int64_t: bytes; "16GiB" or an integer */
	PF_FIELD_MS, /* pf_ms: "1.4s", "73ms", "5m", "1h" */
	PF_FIELD_REAL, /* double */
	PF_FIELD_BOOL, /* bool */
	PF_FIELD_CHOICE, /* int: index into `choices` */
	PF_FIELD_NAMES, /* struct pf_strings */
	PF_FIELD_ADDRS, /* struct pf_strings */
	PF_FIELD_TABLES, /* struct pf_tables */
};

struct pf_strings {
	char **v;
	size_t n;
};

/** A TOML array of tables: an array of structs, described by `table_form`. */
struct pf_tables {
	void *v;
	size_t n;
};

struct pf_field {
	const char *key; /* "expect.first": key `first` of the table `expect` */
	enum pf_field_type type;
	size_t offset; /* of the member in the struct */
	bool required;
	double min; /* of a value; of the length of a string or list */
	double max; /* 0: no bounds */
	const char *default_text; /* NULL: the struct keeps its value */
	const char *choices; /* PF_FIELD_CHOICE only: "a|b" */
	const struct pf_form *table_form; /* PF_FIELD_TABLES only */
};

/** Describes a struct of `size` bytes that is filled from a table. */
struct pf_form {
	const struct pf_field *fields;
	size_t n;
	size_t size;
};

/**
 * Parses @table into @out, which the caller has zeroed or, for scalars, set to
 * its own defaults. Findings name @source, the line and @path with the key.
 * 0, or -1 if there were findings; free with pf_fields_free() in both cases.
 */
int pf_fields_read(const struct pf_form *form, const struct pf_toml_node *table,
		   const char *source, const char *path, void *out,
		   struct pf_findings *f);

/** Frees and zeroes the strings and lists of @out, but not @out itself. */
void pf_fields_free(const struct pf_form *form, void *out);

/**
 * Appends the canonical text: every set field in the order of @form, then
 * arrays of tables as [[@path.key]].
 */
void pf_fields_text(const struct pf_form *form, const void *in,
		    const char *path, struct pf_text *t);

/** Parses a size such as "16GiB". 0, or -1 when malformed. */
int pf_size_parse(struct pf_str s, int64_t *bytes);

/** Parses a duration such as "1.4s". 0, or -1 when malformed. */
int pf_duration_parse(struct pf_str s, pf_ms *ms);

/** Whether @s is "IP:PORT" with a numeric IP; IPv6 needs brackets. */
bool pf_addr_valid(struct pf_str s);

/**
 * Whether @s is 1 to PF_NAME_MAX letters, digits and ._-, of which the first is
 * a letter or a digit.
 */
bool pf_name_valid(struct pf_str s);

#define PF_NAME_MAX 64 /* bytes */
#define PF_FIELD_LIST_MAX 4096 /* entries */

PF_END_DECLS

#endif
