/* Record marking: joins fragments to records. */
#include "src/transport/rpc_record.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#define MARK_BYTES 4
#define LAST_FRAGMENT 0x80000000u
/* A larger buffer is freed after its record. */
#define BUFFER_KEEP_BYTES ((size_t)64 << 10)

static int grow_buffer(struct pf_record_reader *r, size_t n)
{
	size_t cap = r->cap ? r->cap : 1024;
	char *p;

	if (n <= r->cap)
		return 0;
	while (cap < n)
		cap *= 2;
	p = realloc(r->p, cap);
	if (!p)
		return -1;
	r->p = p;
	r->cap = cap;
	return 0;
}

static void start_record(struct pf_record_reader *r)
{
	r->n = 0;
	r->last_fragment = false;
	if (r->cap > BUFFER_KEEP_BYTES)
		pf_record_reader_free(r);
}

static enum pf_record_result read_mark(struct pf_record_reader *r,
				       struct evbuffer *in, size_t max)
{
	uint32_t mark;

	if (evbuffer_get_length(in) < MARK_BYTES)
		return PF_RECORD_MORE;
	evbuffer_remove(in, &mark, MARK_BYTES);
	mark = ntohl(mark);
	r->last_fragment = mark & LAST_FRAGMENT;
	r->fragment_left = mark & ~LAST_FRAGMENT;
	if (r->fragment_left > max || r->n + r->fragment_left > max)
		return PF_RECORD_OVERSIZE;
	/* Empty fragments before the last are refused: an endless sequence of
	 * them would cost CPU without reaching the size limit. */
	if (r->fragment_left == 0 && !r->last_fragment)
		return PF_RECORD_OVERSIZE;
	r->in_fragment = true;
	return PF_RECORD_READY;
}

/* The buffer grows with the received bytes, not with the announced length. */
static enum pf_record_result read_bytes(struct pf_record_reader *r,
					struct evbuffer *in)
{
	size_t n = evbuffer_get_length(in);

	if (n > r->fragment_left)
		n = r->fragment_left;
	if (n > 0) {
		if (grow_buffer(r, r->n + n) < 0)
			return PF_RECORD_NO_MEMORY;
		evbuffer_remove(in, r->p + r->n, n);
		r->n += n;
		r->fragment_left -= (uint32_t)n;
	}
	return r->fragment_left ? PF_RECORD_MORE : PF_RECORD_READY;
}

enum pf_record_result pf_record_read(struct pf_record_reader *r,
				     struct evbuffer *in, size_t max)
{
	enum pf_record_result res;

	if (!r->in_fragment && r->last_fragment)
		start_record(r);
	for (;;) {
		if (!r->in_fragment) {
			res = read_mark(r, in, max);
			if (res != PF_RECORD_READY)
				return res;
		}
		res = read_bytes(r, in);
		if (res != PF_RECORD_READY)
			return res;
		r->in_fragment = false;
		if (r->last_fragment)
			return PF_RECORD_READY;
	}
}

void pf_record_reader_free(struct pf_record_reader *r)
{
	free(r->p);
	r->p = NULL;
	r->cap = 0;
	r->n = 0;
}

void pf_record_mark(unsigned char mark[4], size_t n)
{
	uint32_t v = htonl((uint32_t)n | LAST_FRAGMENT);

	memcpy(mark, &v, MARK_BYTES);
}
