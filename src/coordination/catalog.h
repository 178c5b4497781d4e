/* Index of models, adapters and services in the current configuration. */
#ifndef SRC_COORDINATION_CATALOG_H
#define SRC_COORDINATION_CATALOG_H

#include "src/coordination/entry_impl.h"

/** Indexes @c, borrowed. 0, or -1 without memory: nothing is declared. */
int pf_catalog_build(struct pf_entry *e, const struct pf_config *c);

/** The model @id, or NULL. */
const struct pf_model *pf_catalog_model(const struct pf_entry *e, uint64_t id);

/** Whether the model and adapter, or the service, of @w are declared. */
bool pf_catalog_declares(const struct pf_entry *e, const struct pf_work *w);

#endif
