/* Record marking (RFC 5531, section 11): records from fragments. */
#ifndef PF_TRANSPORT_RPC_RECORD_H
#define PF_TRANSPORT_RPC_RECORD_H

#include "pimentoford/base.h"

struct evbuffer;

PF_BEGIN_DECLS

struct pf_record_reader {
	char *p; /* the record so far; 16-byte aligned */
	size_t n;
	size_t cap;
	uint32_t fragment_left; /* bytes of the fragment still to come */
	bool in_fragment;
	bool last_fragment; /* the fragment at hand ends the record */
};

enum pf_record_result {
	PF_RECORD_MORE, /* wait for more bytes */
	PF_RECORD_READY, /* p and n are a whole record */
	PF_RECORD_OVERSIZE,
	PF_RECORD_NO_MEMORY,
};

/**
 * Takes bytes from @in up to the end of a record. After PF_RECORD_READY the
 * record is valid until the next call. @max bounds a record's bytes.
 */
enum pf_record_result pf_record_read(struct pf_record_reader *r,
				     struct evbuffer *in, size_t max);

void pf_record_reader_free(struct pf_record_reader *r);

/** Writes the mark of a record of @n bytes in one fragment. */
void pf_record_mark(unsigned char mark[4], size_t n);

PF_END_DECLS

#endif
