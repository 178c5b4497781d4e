/* Record marking (RFC 5531, section 11): joins fragments to records. */
#ifndef PF_TRANSPORT_RPC_RECORD_H
#define PF_TRANSPORT_RPC_RECORD_H

#include "pimentoford/base.h"

struct evbuffer;

PF_BEGIN_DECLS

struct pf_record_reader {
	char *p; /* bytes received of the record; 16-byte aligned */
	size_t n;
	size_t cap;
	uint32_t fragment_left; /* bytes missing of the current fragment */
	bool in_fragment;
	bool last_fragment; /* the current fragment ends the record */
};

enum pf_record_result {
	PF_RECORD_MORE, /* needs more bytes */
	PF_RECORD_READY, /* p and n are a complete record */
	PF_RECORD_OVERSIZE, /* also for an empty fragment that isn't the last */
	PF_RECORD_NO_MEMORY,
};

/**
 * Consumes bytes of @in up to the end of a record of at most @max bytes. After
 * PF_RECORD_READY the record is valid until the next call.
 */
enum pf_record_result pf_record_read(struct pf_record_reader *r,
				     struct evbuffer *in, size_t max);

void pf_record_reader_free(struct pf_record_reader *r);

/** Writes the mark of a record that is a single fragment of @n bytes. */
void pf_record_mark(unsigned char mark[4], size_t n);

PF_END_DECLS

#endif
