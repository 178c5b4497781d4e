/* Open requests: allocation, lookup by id, callers that disconnect. */
#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* DEF(field): strings of a payload that a request owns. */
#define PAYLOAD_STRINGS(DEF) \
	DEF(method)          \
	DEF(path)            \
	DEF(content_type)    \
	DEF(idem_key)        \
	DEF(body)

void payload_free(struct pf_payload *p)
{
#define DEF(field) free((char *)p->field.p);
	PAYLOAD_STRINGS(DEF)
#undef DEF
	memset(p, 0, sizeof(*p));
}

int payload_copy(struct pf_payload *to, const struct pf_payload *from)
{
	memset(to, 0, sizeof(*to));
#define DEF(field)                             \
	to->field.p = pf_str_dup(from->field); \
	to->field.n = from->field.n;           \
	if (!to->field.p) {                    \
		payload_free(to);              \
		return -1;                     \
	}
	PAYLOAD_STRINGS(DEF)
#undef DEF
	return 0;
}

static void on_disconnected(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;
	struct request *r = LIST_FIRST(&d->disconnected);
	struct request *next;

	(void)fd;
	(void)what;
	for (; r; r = next) {
		next = LIST_NEXT(r, next);
		requests_disconnected(r);
	}
}

int requests_init(struct daemon *d)
{
	uint32_t cap = d->settings.core.requests_max;
	uint32_t i;

	LIST_INIT(&d->requests);
	LIST_INIT(&d->disconnected);
	d->request_slots = calloc(cap, sizeof(*d->request_slots));
	d->free_slots = calloc(cap, sizeof(*d->free_slots));
	d->disconnected_event = event_new(d->base, -1, 0, on_disconnected, d);
	if (!d->request_slots || !d->free_slots || !d->disconnected_event)
		return -1;
	for (i = 0; i < cap; i++)
		d->free_slots[d->n_free_slots++] = cap - 1 - i;
	return pf_map_init(&d->request_index, cap);
}

static void free_list(struct request *r)
{
	struct request *next;

	for (; r; r = next) {
		next = LIST_NEXT(r, next);
		requests_free(r);
	}
}

void requests_stop(struct daemon *d)
{
	free_list(LIST_FIRST(&d->requests));
	free_list(LIST_FIRST(&d->disconnected));
	pf_map_free(&d->request_index);
	free(d->request_slots);
	free(d->free_slots);
	if (d->disconnected_event)
		event_free(d->disconnected_event);
}

struct request *requests_new(struct daemon *d, struct conn *c,
			     evhtp_request_t *http)
{
	struct request *r;
	uint32_t slot;

	if (d->n_free_slots == 0)
		return NULL;
	r = calloc(1, sizeof(*r));
	if (!r)
		return NULL;
	r->d = d;
	r->id = pf_id2(d->incarnation, ++d->requests_made);
	slot = d->free_slots[--d->n_free_slots];
	pf_map_put(&d->request_index, pf_key1(r->id), slot);
	d->request_slots[slot].request = r;
	LIST_INSERT_HEAD(&d->requests, r, next);
	r->conn = c;
	r->http = http;
	if (c)
		c->request = r;
	return r;
}

struct request *requests_find(struct daemon *d, uint64_t id)
{
	uint32_t slot;

	if (pf_map_get(&d->request_index, pf_key1(id), &slot) < 0)
		return NULL;
	return d->request_slots[slot].request;
}

void requests_free(struct request *r)
{
	struct daemon *d = r->d;
	uint32_t slot;

	if (pf_map_get(&d->request_index, pf_key1(r->id), &slot) == 0) {
		pf_map_del(&d->request_index, pf_key1(r->id));
		d->request_slots[slot].request = NULL;
		d->free_slots[d->n_free_slots++] = slot;
	}
	if (r->conn && r->conn->request == r)
		r->conn->request = NULL;
	LIST_REMOVE(r, next);
	pf_oai_response_free(&r->shape);
	payload_free(&r->payload);
	pf_text_free(&r->output);
	pf_text_free(&r->final_events);
	free(r);
}

void requests_disconnected(struct request *r)
{
	struct pf_entry_msg m = { .type = PF_ENTRY_CALLER_GONE };
	struct daemon *d = r->d;

	if (r->conn)
		r->conn->request = NULL;
	r->conn = NULL;
	r->http = NULL;
	if (d->in_step) {
		LIST_REMOVE(r, next);
		LIST_INSERT_HEAD(&d->disconnected, r, next);
		event_active(d->disconnected_event, 0, 0);
		return;
	}
	m.u.request = r->id;
	if (!r->ended) {
		d->counters.v[PF_EC_CANCELLED]++;
		entry_step(d, &m);
	}
	requests_free(r);
}
