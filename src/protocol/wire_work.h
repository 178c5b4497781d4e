/* Conversion of times and of pf_work to and from XDR. */
#ifndef PF_PROTOCOL_WIRE_WORK_H
#define PF_PROTOCOL_WIRE_WORK_H

#include "pimentoford/work.h"
#include "src/protocol/pimento_xdr.h"

/** Duration until @due, at least 0; -1 for PF_NEVER. */
pf_ms pf_wire_duration_until(pf_ms due, pf_ms now);

/** The time @left ms after @now; PF_NEVER for a negative @left. */
pf_ms pf_wire_time_after(pf_ms left, pf_ms now);

void pf_wire_work_to_xdr(pimento_work *x, const struct pf_work *w, pf_ms now);
void pf_wire_work_from_xdr(struct pf_work *w, const pimento_work *x, pf_ms now);

#endif
