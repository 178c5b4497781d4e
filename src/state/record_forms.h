/* The records' fields in each schema; internal to reading and building. */
#ifndef STATE_RECORD_FORMS_H
#define STATE_RECORD_FORMS_H

#include "pimentoford/fields.h"
#include "pimentoford/records.h"

/* What the fields of one record fill. Both schemas of a kind share a values. */
union pf_record_values {
	uint32_t schema; /* first member of each */
	struct {
		uint32_t schema;
		char *name;
		struct pf_model single; /* schema 1: its only version */
		struct pf_tables versions; /* schema 2: of struct pf_model */
	} model;
	struct {
		uint32_t schema;
		struct pf_adapter a;
	} adapter;
	struct {
		uint32_t schema;
		struct pf_caller c;
		struct pf_strings models;
	} caller;
	struct {
		uint32_t schema;
		struct pf_endpoint e;
	} endpoint;
	struct {
		uint32_t schema;
		char *name;
		struct pf_tables calls; /* of struct pf_call */
	} service;
	struct {
		uint32_t schema;
		struct pf_deployment d;
	} deployment;
};

/* The form of a kind in a schema that is supported. */
const struct pf_form *pf_record_form(enum pf_kind kind, uint32_t schema);

/* The record's name; the caller frees it. NULL without memory. */
char *pf_record_values_name(enum pf_kind kind,
			    const union pf_record_values *values);

/*
 * Reads the record's table. *@form is zeroed first and is to be freed with
 * pf_record_values_free() either way, under the schema in *@values. 0 or -1.
 */
int pf_record_values_read(enum pf_kind kind, const struct pf_toml_node *table,
			  const char *source, union pf_record_values *values,
			  struct pf_findings *f);
void pf_record_values_free(enum pf_kind kind, union pf_record_values *values);

/* A place for findings of a whole record: "source:line kind NAME". */
void pf_record_place(const struct pf_record *r, char *buf, size_t n);

/* Checks that every declared model has a home; adds findings. */
void pf_memory_fit_check(const struct pf_config *c, struct pf_findings *f);

#endif
