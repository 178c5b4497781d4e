/*
 * Tables of fields: what a TOML table may hold, described once, for reading
 * with findings, for writing the canonical text and for release. Records and
 * the daemons' settings both use it.
 */
#ifndef PIMENTOFORD_FIELDS_H
#define PIMENTOFORD_FIELDS_H

#include "pimentoford/text.h"
#include "pimentoford/toml.h"

PF_BEGIN_DECLS

enum pf_field_type {
	PF_FIELD_STR, /* char *: 1 byte to `max` */
	PF_FIELD_NAME, /* char *: letters, digits and ._- */
	PF_FIELD_ADDR, /* char *: IP:PORT */
	PF_FIELD_DIGEST, /* char *: 64 lower-case hex digits */
	PF_FIELD_U8, /* uint8_t */
	PF_FIELD_U32, /* uint32_t */
	PF_FIELD_U64, /* uint64_t */
	PF_FIELD_SIZE, /* int64_t: bytes, "16GiB" or an integer */
	PF_FIELD_MS, /* pf_ms: "1.4s", "73ms", "5m", "1h" */
	PF_FIELD_REAL, /* double */
	PF_FIELD_BOOL, /* bool */
	PF_FIELD_CHOICE, /* int: place in `choices` */
	PF_FIELD_NAMES, /* struct pf_strings */
	PF_FIELD_ADDRS, /* struct pf_strings */
	PF_FIELD_TABLES, /* struct pf_tables: an array of tables */
};

struct pf_strings {
	char **v;
	size_t n;
};

/** An array of structs, each described by the field's `rows`. */
struct pf_tables {
	void *v;
	size_t n;
};

struct pf_field {
	const char *key; /* "expect.first" is key `first` of table `expect` */
	enum pf_field_type type;
	size_t offset; /* offset in the struct */
	bool required;
	double min; /* of the value; of the length for texts and lists */
	double max; /* 0: no bounds */
	const char *
		default_text; /* as text; NULL: the struct keeps what it holds */
	const char *choices; /* CHOICE only: "a|b" */
	const struct pf_form *table_form; /* ROWS only */
};

/** A struct of @size bytes that a table fills. */
struct pf_form {
	const struct pf_field *fields;
	size_t n;
	size_t size;
};

/**
 * Reads @table into @out, which the caller has set to zero or to its own
 * defaults for scalars. Findings carry @source, the line and @path with the
 * key. 0, or -1 when anything was found; @out is to be freed either way.
 */
int pf_fields_read(const struct pf_form *form, const struct pf_toml_node *table,
		   const char *source, const char *path, void *out,
		   struct pf_findings *f);

/** Frees what @out holds, not @out, and sets those fields to zero. */
void pf_fields_free(const struct pf_form *form, void *out);

/**
 * Writes the canonical text: every set field in the order of the table, then
 * arrays of tables as [[@path.key]].
 */
void pf_fields_text(const struct pf_form *form, const void *in,
		    const char *path, struct pf_text *t);

/** Reads a size such as "16GiB"; 0, or -1 when it is none. */
int pf_size_parse(struct pf_str s, int64_t *bytes);

/** Reads a duration such as "1.4s"; 0, or -1 when it is none. */
int pf_duration_parse(struct pf_str s, pf_ms *ms);

/** Whether @s is an IP number with a port. */
bool pf_addr_valid(struct pf_str s);

/** Whether @s may be a name. */
bool pf_name_valid(struct pf_str s);

#define PF_NAME_MAX 64
#define PF_FIELD_LIST_MAX 4096

PF_END_DECLS

#endif
