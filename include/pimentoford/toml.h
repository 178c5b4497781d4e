/*
 * C wrapper of the TOML parser, a C++ library. Exceptions are caught and parse
 * errors become findings with their line.
 */
#ifndef PIMENTOFORD_TOML_H
#define PIMENTOFORD_TOML_H

#include "pimentoford/findings.h"

PF_BEGIN_DECLS

/** A parsed document, and a node of it, which belongs to the document. */
struct pf_toml;
struct pf_toml_node;

enum pf_toml_type {
	PF_TOML_TABLE,
	PF_TOML_ARRAY,
	PF_TOML_STRING,
	PF_TOML_INT,
	PF_TOML_REAL,
	PF_TOML_BOOL,
	PF_TOML_OTHER, /* dates and times */
};

/**
 * Parses @text; findings name @source. The document is freed with
 * pf_toml_free(); NULL after an error.
 */
struct pf_toml *pf_toml_parse(struct pf_str text, const char *source,
			      struct pf_findings *f);
void pf_toml_free(struct pf_toml *t);

/** The root table. */
const struct pf_toml_node *pf_toml_root(const struct pf_toml *t);

enum pf_toml_type pf_toml_type(const struct pf_toml_node *n);

/** The line on which the node begins; the first is 1. */
uint32_t pf_toml_line(const struct pf_toml_node *n);

/** Number of entries of a table or an array; 0 for other types. */
size_t pf_toml_count(const struct pf_toml_node *n);

/**
 * Entry @i of an array, or of a table in the order of its keys. For a table,
 * *@key is set unless @key is NULL. NULL past the end.
 */
const struct pf_toml_node *pf_toml_at(const struct pf_toml_node *n, size_t i,
				      struct pf_str *key);

/** The value of @key in a table, or NULL. */
const struct pf_toml_node *pf_toml_get(const struct pf_toml_node *n,
				       struct pf_str key);

/** Typed getters. 0, or -1 when the node has another type. */
int pf_toml_str(const struct pf_toml_node *n, struct pf_str *out);
int pf_toml_int(const struct pf_toml_node *n, int64_t *out);
/** Also accepts an integer. */
int pf_toml_real(const struct pf_toml_node *n, double *out);
int pf_toml_bool(const struct pf_toml_node *n, bool *out);

PF_END_DECLS

#endif
