/* The tries that the core knows: payloads and executions. */
#include "daemon.h"

#include <stdlib.h>
#include <string.h>

static struct pf_key key_of(struct pf_try id)
{
	return (struct pf_key){ id.request, id.attempt };
}

int tries_init(struct tries *t, uint32_t cap)
{
	uint32_t i;

	t->v = calloc(cap, sizeof(*t->v));
	t->unused = calloc(cap, sizeof(*t->unused));
	t->cap = cap;
	if (!t->v || !t->unused || pf_map_init(&t->index, cap) < 0)
		return -1;
	for (i = 0; i < cap; i++)
		t->unused[t->n_unused++] = cap - 1 - i;
	return 0;
}

struct try_slot *tries_find(struct tries *t, struct pf_try id)
{
	uint32_t i;

	return pf_map_get(&t->index, key_of(id), &i) < 0 ? NULL : &t->v[i];
}

/* DEF(field): strings of a payload that a slot keeps. */
#define KEPT(DEF)         \
	DEF(method)       \
	DEF(path)         \
	DEF(content_type) \
	DEF(idem_key)     \
	DEF(body)

static void payload_free(struct pf_payload *p)
{
#define DEF(field) free((char *)p->field.p);
	KEPT(DEF)
#undef DEF
	memset(p, 0, sizeof(*p));
}

static int payload_copy(struct pf_payload *to, const struct pf_payload *from)
{
	memset(to, 0, sizeof(*to));
#define DEF(field)                             \
	to->field.p = pf_str_dup(from->field); \
	to->field.n = from->field.n;           \
	if (!to->field.p) {                    \
		payload_free(to);              \
		return -1;                     \
	}
	KEPT(DEF)
#undef DEF
	return 0;
}

struct try_slot *tries_add(struct daemon *d, uint64_t entry, struct pf_try id,
			   const struct pf_work *w, const struct pf_payload *p)
{
	struct tries *t = &d->tries;
	struct try_slot *s;
	uint32_t i;

	if (t->n_unused == 0)
		return NULL;
	i = t->unused[t->n_unused - 1];
	s = &t->v[i];
	memset(s, 0, sizeof(*s));
	if (payload_copy(&s->payload, p) < 0)
		return NULL;
	pf_text_add(&s->output, p->prior);
	if (s->output.failed || pf_map_put(&t->index, key_of(id), i) < 0) {
		payload_free(&s->payload);
		pf_text_free(&s->output);
		return NULL;
	}
	t->n_unused--;
	s->d = d;
	s->used = true;
	s->id = id;
	s->entry = entry;
	s->never_repeat = w->flags & PF_WORK_NEVER_REPEAT;
	return s;
}

void tries_drop(struct daemon *d, struct try_slot *s)
{
	struct tries *t = &d->tries;

	runs_forget(s);
	pf_map_del(&t->index, key_of(s->id));
	t->unused[t->n_unused++] = (uint32_t)(s - t->v);
	payload_free(&s->payload);
	pf_text_free(&s->output);
	pf_text_free(&s->answer);
	free(s->answer_type);
	memset(s, 0, sizeof(*s));
}

void tries_drop_waiting(struct daemon *d, uint64_t entry)
{
	uint32_t i;

	for (i = 0; i < d->tries.cap; i++) {
		struct try_slot *s = &d->tries.v[i];

		if (s->used && s->entry == entry && s->execs == 0)
			tries_drop(d, s);
	}
}

void tries_free(struct tries *t)
{
	uint32_t i;

	for (i = 0; t->v && i < t->cap; i++) {
		if (t->v[i].used)
			tries_drop(t->v[i].d, &t->v[i]);
	}
	pf_map_free(&t->index);
	free(t->unused);
	free(t->v);
}
