/* Field descriptions of the records in each schema; internal to src/state. */
#ifndef STATE_RECORD_FORMS_H
#define STATE_RECORD_FORMS_H

#include "pimentoford/fields.h"
#include "pimentoford/records.h"

#define MODEL_VERSIONS_MAX 16 /* in one model record of schema 2 */
#define SERVICE_CALLS_MAX 256 /* in one service record */

/* The parsed fields of one record. Both schemas of a kind use one struct. */
union pf_record_values {
	uint32_t schema; /* first member of every struct */
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

/* The field description of a kind; @schema must be supported. */
const struct pf_form *pf_record_form(enum pf_kind kind, uint32_t schema);

/* Name of the record, freed by the caller. NULL without memory. */
char *pf_record_values_name(enum pf_kind kind,
			    const union pf_record_values *values);

/*
 * Parses the table of a record; zeroes *@values first. Free with
 * pf_record_values_free() also after an error. 0, or -1 after adding findings.
 */
int pf_record_values_read(enum pf_kind kind, const struct pf_toml_node *table,
			  const char *source, union pf_record_values *values,
			  struct pf_findings *f);
void pf_record_values_free(enum pf_kind kind, union pf_record_values *values);

/* Writes the place of a finding about a record: "source:line kind NAME". */
void pf_record_place(const struct pf_record *r, char *buf, size_t n);

/* Adds a finding for each model that doesn't fit the engines' memory. */
void pf_memory_fit_check(const struct pf_config *c, struct pf_findings *f);

#endif
