/* Encodes and decodes messages with the XDR types of pimento.x. */
#include "pimentoford/wire.h"

#include "src/protocol/pimento_xdr.h"
#include "src/protocol/wire_work.h"

#include <stdlib.h>
#include <string.h>

/* DEF(NAME, generated type, union member) */
#define WIRE_TYPES(DEF)                                 \
	DEF(TRY, pimento_try, try_)                     \
	DEF(REVOKE, pimento_try_id, id)                 \
	DEF(CANCEL, pimento_try_id, id)                 \
	DEF(STARTED, pimento_try_id, id)                \
	DEF(PIECE, pimento_piece, piece)                \
	DEF(DONE, pimento_done, done)                   \
	DEF(NOT_RUN, pimento_not_run, not_run)          \
	DEF(REVOKED, pimento_try_id, id)                \
	DEF(LOST, pimento_lost, lost)                   \
	DEF(REPORT, pimento_report, report)             \
	DEF(QUARANTINE, pimento_quarantine, quarantine) \
	DEF(CONFIG_HEAD, pimento_config, config)        \
	DEF(CONFIG_PULL, pimento_config, config)        \
	DEF(CONFIG, pimento_config, config)             \
	DEF(PLACE, pimento_place, place)                \
	DEF(DEMAND, pimento_demand, demand)

_Static_assert(sizeof(struct pf_demand) == sizeof(pimento_wish) &&
		       offsetof(struct pf_demand, open) ==
			       offsetof(pimento_wish, alive),
	       "pimento_wish and pf_demand have the same layout");

/* Upper bound on the fixed part of any message. */
#define FIXED_PART_BYTES_MAX 256
#define LIST_ENTRY_BYTES 16

union wire_xdr {
	pimento_try try_;
	pimento_try_id id;
	pimento_piece piece;
	pimento_done done;
	pimento_not_run not_run;
	pimento_lost lost;
	pimento_report report;
	pimento_quarantine quarantine;
	pimento_config config;
	pimento_place place;
	pimento_demand demand;
};

struct pf_wire_decoder {
	union wire_xdr x;
	xdrproc_t free_proc; /* frees the data in `x`; NULL: none */
	char *scratch; /* reused for PIECE, to avoid allocations */
	size_t scratch_cap;
	struct pf_item *items;
	uint32_t items_cap;
};

static xdrproc_t xdr_proc_of(uint32_t type)
{
	switch (type) {
#define DEF(name, gen, member) \
	case PF_WIRE_##name:   \
		return (xdrproc_t)xdr_##gen;
		WIRE_TYPES(DEF)
#undef DEF
	default:
		return NULL;
	}
}

/* rpcgen names the members of a counted string after the field. */
#define SET_STR(dst, name, s)                                 \
	do {                                                  \
		(dst)->name.name##_val = (char *)(s).p;       \
		(dst)->name.name##_len = (unsigned int)(s).n; \
	} while (0)
#define GET_STR(src, name) \
	((struct pf_str){ (src)->name.name##_val, (src)->name.name##_len })

static pimento_try_id id_to_xdr(struct pf_try id)
{
	return (pimento_try_id){ id.request, id.attempt };
}

static struct pf_try id_from_xdr(pimento_try_id id)
{
	return (struct pf_try){ id.request, id.attempt };
}

#define PAYLOAD_FIELDS(DEF) \
	DEF(method)         \
	DEF(path)           \
	DEF(content_type)   \
	DEF(idem_key)       \
	DEF(body)           \
	DEF(prior)

static size_t try_to_xdr(pimento_try *x, const struct pf_wire_msg *m, pf_ms now)
{
	const struct pf_payload *p = &m->u.try_.payload;
	size_t n = 0;

	x->id = id_to_xdr(m->u.try_.id);
	pf_wire_work_to_xdr(&x->work, &m->u.try_.work, now);
#define DEF(field)                   \
	SET_STR(x, field, p->field); \
	n += p->field.n + 8;
	PAYLOAD_FIELDS(DEF)
#undef DEF
	return n;
}

static void try_from_xdr(struct pf_wire_msg *m, const pimento_try *x, pf_ms now)
{
	struct pf_payload *p = &m->u.try_.payload;

	m->u.try_.id = id_from_xdr(x->id);
	pf_wire_work_from_xdr(&m->u.try_.work, &x->work, now);
#define DEF(field) p->field = GET_STR(x, field);
	PAYLOAD_FIELDS(DEF)
#undef DEF
}

#define REPORT_FIELDS(DEF)    \
	DEF(agent)            \
	DEF(incarnation)      \
	DEF(seq)              \
	DEF(running)          \
	DEF(queued)           \
	DEF(queue_max)        \
	DEF(batch_max)        \
	DEF(started)          \
	DEF(kv_free)          \
	DEF(kv_total)         \
	DEF(step_ms)          \
	DEF(token_prefill_ms) \
	DEF(leaving)          \
	DEF(ready)

/* The caller frees @items, the items in generated form. */
static int report_to_xdr(pimento_report *x, const struct pf_report *r,
			 pimento_item **items)
{
	uint32_t i;

#define DEF(field) x->field = r->field;
	REPORT_FIELDS(DEF)
#undef DEF
	x->items.items_len = r->n_items;
	if (r->n_items == 0)
		return 0;
	*items = calloc(r->n_items, sizeof(**items));
	if (!*items)
		return -1;
	for (i = 0; i < r->n_items; i++) {
		(*items)[i].id = r->items[i].id;
		(*items)[i].state = r->items[i].state;
		(*items)[i].running = r->items[i].running;
	}
	x->items.items_val = *items;
	return 0;
}

static int report_from_xdr(struct pf_wire_decoder *d, struct pf_report *r)
{
	const pimento_report *x = &d->x.report;
	uint32_t n = x->items.items_len;
	uint32_t i;

#define DEF(field) r->field = x->field;
	REPORT_FIELDS(DEF)
#undef DEF
	if (n > d->items_cap) {
		struct pf_item *v = realloc(d->items, n * sizeof(*v));

		if (!v)
			return -1;
		d->items = v;
		d->items_cap = n;
	}
	for (i = 0; i < n; i++) {
		uint32_t state = x->items.items_val[i].state;

		if (state > PF_ITEM_UNLOADING)
			return -1;
		d->items[i].id = x->items.items_val[i].id;
		d->items[i].state = (enum pf_item_state)state;
		d->items[i].running = x->items.items_val[i].running;
	}
	r->items = d->items;
	r->n_items = n;
	return 0;
}

static size_t piece_to_xdr(pimento_piece *x, const struct pf_wire_msg *m)
{
	x->id = id_to_xdr(m->u.piece.id);
	x->offset = m->u.piece.offset;
	x->lens.lens_val = (unsigned int *)m->u.piece.lens;
	x->lens.lens_len = m->u.piece.count;
	SET_STR(x, text, m->u.piece.text);
	return m->u.piece.text.n + 4 * (size_t)m->u.piece.count + 16;
}

static size_t done_to_xdr(pimento_done *x, const struct pf_wire_msg *m)
{
	x->id = id_to_xdr(m->u.done.id);
	x->total = m->u.done.total;
	x->error = m->u.done.error;
	x->at_limit = m->u.done.at_limit;
	x->status = m->u.done.status;
	SET_STR(x, content_type, m->u.done.content_type);
	SET_STR(x, body, m->u.done.body);
	return m->u.done.content_type.n + m->u.done.body.n + 16;
}

/* Fills @x from @m. Returns the size beyond the fixed part, or -1. */
static ssize_t message_to_xdr(union wire_xdr *x, const struct pf_wire_msg *m,
			      pf_ms now, pimento_item **items)
{
	switch (m->type) {
	case PF_WIRE_TRY:
		return try_to_xdr(&x->try_, m, now);
	case PF_WIRE_REVOKE:
	case PF_WIRE_CANCEL:
	case PF_WIRE_STARTED:
	case PF_WIRE_REVOKED:
		x->id = id_to_xdr(m->u.id);
		return 0;
	case PF_WIRE_PIECE:
		return piece_to_xdr(&x->piece, m);
	case PF_WIRE_DONE:
		return done_to_xdr(&x->done, m);
	case PF_WIRE_NOT_RUN:
		x->not_run.id = id_to_xdr(m->u.not_run.id);
		x->not_run.reason = m->u.not_run.reason;
		x->not_run.retry_after = m->u.not_run.retry_after;
		return 0;
	case PF_WIRE_LOST:
		x->lost.id = id_to_xdr(m->u.lost.id);
		x->lost.reason = m->u.lost.reason;
		x->lost.produced = m->u.lost.produced;
		return 0;
	case PF_WIRE_REPORT:
		if (report_to_xdr(&x->report, &m->u.report, items) < 0)
			return -1;
		return (ssize_t)m->u.report.n_items * LIST_ENTRY_BYTES;
	case PF_WIRE_QUARANTINE:
		x->quarantine.fingerprint = m->u.quarantine.fingerprint;
		x->quarantine.keep =
			pf_wire_duration_until(m->u.quarantine.until, now);
		return 0;
	case PF_WIRE_CONFIG_HEAD:
	case PF_WIRE_CONFIG_PULL:
	case PF_WIRE_CONFIG:
		x->config.revision = m->u.config.revision;
		x->config.base = m->u.config.base;
		x->config.digest = m->u.config.digest;
		x->config.region = m->u.config.region;
		x->config.age = m->u.config.age;
		SET_STR(&x->config, text, m->u.config.text);
		return (ssize_t)m->u.config.text.n;
	case PF_WIRE_PLACE:
		x->place.items.items_val = (uint64_t *)m->u.place.items;
		x->place.items.items_len = m->u.place.n_items;
		return (ssize_t)m->u.place.n_items * 8;
	case PF_WIRE_DEMAND:
		x->demand.wishes.wishes_val = (pimento_wish *)m->u.demand.v;
		x->demand.wishes.wishes_len = m->u.demand.n;
		return (ssize_t)m->u.demand.n * LIST_ENTRY_BYTES;
	case PF_WIRE_LEAVING:
		return 0;
	}
	return -1;
}

static int buf_reserve(struct pf_wire_buf *b, size_t n)
{
	char *p;

	if (b->cap >= n)
		return 0;
	n += n / 2;
	p = realloc(b->p, n);
	if (!p)
		return -1;
	b->p = p;
	b->cap = n;
	return 0;
}

void pf_wire_buf_free(struct pf_wire_buf *b)
{
	free(b->p);
	memset(b, 0, sizeof(*b));
}

int pf_wire_encode(const struct pf_wire_msg *m, pf_ms now,
		   struct pf_wire_buf *b)
{
	pimento_item *items = NULL;
	xdrproc_t proc = xdr_proc_of(m->type);
	union wire_xdr x;
	ssize_t extra;
	XDR xdrs;
	int ret = -1;

	b->n = 0;
	if (m->type == PF_WIRE_LEAVING)
		return 0;
	if (!proc)
		return -1;
	memset(&x, 0, sizeof(x));
	extra = message_to_xdr(&x, m, now, &items);
	if (extra < 0 ||
	    buf_reserve(b, FIXED_PART_BYTES_MAX + (size_t)extra) < 0)
		goto out;
	xdrmem_create(&xdrs, b->p, (unsigned int)b->cap, XDR_ENCODE);
	if (!proc(&xdrs, &x))
		goto out;
	b->n = xdr_getpos(&xdrs);
	ret = 0;
out:
	free(items);
	return ret;
}

struct pf_wire_decoder *pf_wire_decoder_new(void)
{
	return calloc(1, sizeof(struct pf_wire_decoder));
}

static void free_decoded(struct pf_wire_decoder *d)
{
	if (d->free_proc)
		xdr_free(d->free_proc, &d->x);
	d->free_proc = NULL;
}

void pf_wire_decoder_free(struct pf_wire_decoder *d)
{
	if (!d)
		return;
	free_decoded(d);
	free(d->scratch);
	free(d->items);
	free(d);
}

/* Points the arrays of a PIECE at scratch space for a body of @n bytes. */
static int reserve_piece_scratch(struct pf_wire_decoder *d, size_t n)
{
	size_t need = 2 * n + 16;

	if (d->scratch_cap < need) {
		char *p = realloc(d->scratch, need);

		if (!p)
			return -1;
		d->scratch = p;
		d->scratch_cap = need;
	}
	d->x.piece.lens.lens_val = (unsigned int *)d->scratch;
	d->x.piece.text.text_val = d->scratch + n + 8;
	return 0;
}

/* Readers rely on the token lengths summing up to the text length. */
static bool piece_lengths_valid(const pimento_piece *x)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < x->lens.lens_len; i++)
		sum += x->lens.lens_val[i];
	return x->lens.lens_len > 0 && sum == x->text.text_len;
}

static enum pf_reason reason_from_xdr(uint32_t r)
{
	return r < PF_REASON_COUNT ? (enum pf_reason)r : PF_REASON_BACKEND;
}

static int piece_from_xdr(struct pf_wire_msg *m, const pimento_piece *x)
{
	if (!piece_lengths_valid(x))
		return -1;
	m->u.piece.id = id_from_xdr(x->id);
	m->u.piece.offset = x->offset;
	m->u.piece.lens = x->lens.lens_val;
	m->u.piece.count = x->lens.lens_len;
	m->u.piece.text = GET_STR(x, text);
	return 0;
}

static void done_from_xdr(struct pf_wire_msg *m, const pimento_done *x)
{
	m->u.done.id = id_from_xdr(x->id);
	m->u.done.total = x->total;
	m->u.done.error = x->error;
	m->u.done.at_limit = x->at_limit;
	m->u.done.status = x->status;
	m->u.done.content_type = GET_STR(x, content_type);
	m->u.done.body = GET_STR(x, body);
}

static int message_from_xdr(struct pf_wire_decoder *d, pf_ms now,
			    struct pf_wire_msg *m)
{
	union wire_xdr *x = &d->x;

	switch (m->type) {
	case PF_WIRE_TRY:
		try_from_xdr(m, &x->try_, now);
		return 0;
	case PF_WIRE_REVOKE:
	case PF_WIRE_CANCEL:
	case PF_WIRE_STARTED:
	case PF_WIRE_REVOKED:
		m->u.id = id_from_xdr(x->id);
		return 0;
	case PF_WIRE_PIECE:
		return piece_from_xdr(m, &x->piece);
	case PF_WIRE_DONE:
		done_from_xdr(m, &x->done);
		return 0;
	case PF_WIRE_NOT_RUN:
		m->u.not_run.id = id_from_xdr(x->not_run.id);
		m->u.not_run.reason = reason_from_xdr(x->not_run.reason);
		m->u.not_run.retry_after =
			x->not_run.retry_after > 0 ? x->not_run.retry_after : 0;
		return 0;
	case PF_WIRE_LOST:
		m->u.lost.id = id_from_xdr(x->lost.id);
		m->u.lost.reason = reason_from_xdr(x->lost.reason);
		m->u.lost.produced = x->lost.produced;
		return 0;
	case PF_WIRE_REPORT:
		return report_from_xdr(d, &m->u.report);
	case PF_WIRE_QUARANTINE:
		m->u.quarantine.fingerprint = x->quarantine.fingerprint;
		m->u.quarantine.until =
			pf_wire_time_after(x->quarantine.keep, now);
		return 0;
	case PF_WIRE_CONFIG_HEAD:
	case PF_WIRE_CONFIG_PULL:
	case PF_WIRE_CONFIG:
		m->u.config.revision = x->config.revision;
		m->u.config.base = x->config.base;
		m->u.config.digest = x->config.digest;
		m->u.config.region = x->config.region;
		m->u.config.age = x->config.age;
		m->u.config.text = GET_STR(&x->config, text);
		return 0;
	case PF_WIRE_PLACE:
		m->u.place.items = x->place.items.items_val;
		m->u.place.n_items = x->place.items.items_len;
		return 0;
	case PF_WIRE_DEMAND:
		m->u.demand.v = (struct pf_demand *)x->demand.wishes.wishes_val;
		m->u.demand.n = x->demand.wishes.wishes_len;
		return 0;
	case PF_WIRE_LEAVING:
		return 0;
	}
	return -1;
}

enum pf_wire_result pf_wire_decode(struct pf_wire_decoder *d, uint32_t type,
				   struct pf_str body, pf_ms now,
				   struct pf_wire_msg *m)
{
	xdrproc_t proc = xdr_proc_of(type);
	XDR xdrs;

	memset(m, 0, sizeof(*m));
	m->type = (enum pf_wire_type)type;
	if (type == PF_WIRE_LEAVING)
		return PF_WIRE_OK;
	if (!proc)
		return PF_WIRE_UNKNOWN;
	free_decoded(d);
	memset(&d->x, 0, sizeof(d->x));
	if (type == PF_WIRE_PIECE) {
		if (reserve_piece_scratch(d, body.n) < 0)
			return PF_WIRE_BAD;
	} else {
		d->free_proc = proc;
	}
	xdrmem_create(&xdrs, (char *)body.p, (unsigned int)body.n, XDR_DECODE);
	if (!proc(&xdrs, &d->x))
		return PF_WIRE_BAD;
	return message_from_xdr(d, now, m) < 0 ? PF_WIRE_BAD : PF_WIRE_OK;
}
