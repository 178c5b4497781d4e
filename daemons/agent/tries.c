/* Table of the tries that the core knows. */
#include "daemon.h"

#include <stdlib.h>
#include <string.h>

static struct pf_key try_key(struct pf_try id)
{
	return (struct pf_key){ id.request, id.attempt };
}

int tries_init(struct tries *t, uint32_t cap)
{
	uint32_t i;

	t->slots = calloc(cap, sizeof(*t->slots));
	t->free_slots = calloc(cap, sizeof(*t->free_slots));
	t->capacity = cap;
	if (!t->slots || !t->free_slots || pf_map_init(&t->index, cap) < 0)
		return -1;
	for (i = 0; i < cap; i++)
		t->free_slots[t->n_free_slots++] = cap - 1 - i;
	return 0;
}

struct try_slot *tries_find(struct tries *t, struct pf_try id)
{
	uint32_t i;

	return pf_map_get(&t->index, try_key(id), &i) < 0 ? NULL : &t->slots[i];
}

/* DEF(field): strings of a payload that a slot copies. */
#define PAYLOAD_STRINGS(DEF) \
	DEF(method)          \
	DEF(path)            \
	DEF(content_type)    \
	DEF(idem_key)        \
	DEF(body)

static void payload_free(struct pf_payload *p)
{
#define DEF(field) free((char *)p->field.p);
	PAYLOAD_STRINGS(DEF)
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
	PAYLOAD_STRINGS(DEF)
#undef DEF
	return 0;
}

struct try_slot *tries_add(struct daemon *d, uint64_t entry, struct pf_try id,
			   const struct pf_work *w, const struct pf_payload *p)
{
	struct tries *t = &d->tries;
	struct try_slot *s;
	uint32_t i;

	if (t->n_free_slots == 0)
		return NULL;
	i = t->free_slots[t->n_free_slots - 1];
	s = &t->slots[i];
	memset(s, 0, sizeof(*s));
	if (payload_copy(&s->payload, p) < 0)
		return NULL;
	pf_text_add(&s->output, p->prior);
	if (s->output.failed || pf_map_put(&t->index, try_key(id), i) < 0) {
		payload_free(&s->payload);
		pf_text_free(&s->output);
		return NULL;
	}
	t->n_free_slots--;
	s->d = d;
	s->in_use = true;
	s->id = id;
	s->entry = entry;
	s->never_repeat = w->flags & PF_WORK_NEVER_REPEAT;
	return s;
}

void tries_remove(struct daemon *d, struct try_slot *s)
{
	struct tries *t = &d->tries;

	runs_reset(s);
	pf_map_del(&t->index, try_key(s->id));
	t->free_slots[t->n_free_slots++] = (uint32_t)(s - t->slots);
	payload_free(&s->payload);
	pf_text_free(&s->output);
	pf_text_free(&s->answer_body);
	free(s->answer_content_type);
	memset(s, 0, sizeof(*s));
}

void tries_remove_unstarted(struct daemon *d, uint64_t entry)
{
	uint32_t i;

	for (i = 0; i < d->tries.capacity; i++) {
		struct try_slot *s = &d->tries.slots[i];

		if (s->in_use && s->entry == entry && s->executions == 0)
			tries_remove(d, s);
	}
}

void tries_free(struct tries *t)
{
	uint32_t i;

	for (i = 0; t->slots && i < t->capacity; i++) {
		if (t->slots[i].in_use)
			tries_remove(t->slots[i].d, &t->slots[i]);
	}
	pf_map_free(&t->index);
	free(t->free_slots);
	free(t->slots);
}
