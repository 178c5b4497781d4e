/*
 * A gateway's row in the store about streams that began at it: text, one record
 * a line. Other gateways, and its own next process, read it at their start.
 */
#ifndef PIMENTOFORD_STREAM_ROW_H
#define PIMENTOFORD_STREAM_ROW_H

#include "pimentoford/gate.h"
#include "pimentoford/text.h"

PF_BEGIN_DECLS

struct pf_stream_row {
	pf_ms written_at; /* by the wall clock; ages count from here */
	struct pf_gate_stream streams[PF_GATE_STORED_MAX];
	uint32_t n_streams;
	struct pf_gate_software software[PF_GATE_SOFTWARE_MAX];
	uint32_t n_software;
};

void pf_stream_row_encode(const struct pf_stream_row *r, struct pf_text *out);

/**
 * Decodes @text; the ages count from @now, by the wall clock. Lines of later
 * releases are skipped. Returns 0, or -1 if it is malformed.
 */
int pf_stream_row_decode(struct pf_str text, pf_ms now,
			 struct pf_stream_row *r);

PF_END_DECLS

#endif
