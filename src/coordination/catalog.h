/* Index of the records in the current configuration. */
#ifndef SRC_COORDINATION_CATALOG_H
#define SRC_COORDINATION_CATALOG_H

#include "src/coordination/entry_impl.h"

/** Indexes @c, borrowed. 0, or -1 without memory: nothing is declared. */
int pf_catalog_build(struct pf_entry *e, const struct pf_config *c);

/** Finds a record by id. NULL when absent. */
const struct pf_model *pf_catalog_model(const struct pf_entry *e, uint64_t id);
const struct pf_endpoint *pf_catalog_endpoint(const struct pf_entry *e,
					      uint64_t id);

/** Whether the model and adapter, or the service, of @w are declared. */
bool pf_catalog_declares(const struct pf_entry *e, const struct pf_work *w);

/** The id of the plain service named @name; 0 when absent. */
uint64_t pf_catalog_service(const struct pf_entry *e, const char *name);

#endif
