/*
 * Follows the platform's list of VMs, which lags: says which are leaving.
 * A list that cannot be read says nothing.
 */
#ifndef PIMENTOFORD_VM_LIST_H
#define PIMENTOFORD_VM_LIST_H

#include "pimentoford/base.h"

struct event_base;

PF_BEGIN_DECLS

struct pf_vm_list;

struct pf_vm {
	struct pf_str name;
	struct pf_str zone;
	bool leaving;
};

struct pf_vm_list_opts {
	struct event_base *base;
	const char *addr; /* IP:PORT of the platform */
	pf_ms poll; /* with jitter */
	uint64_t seed;
	/* Called at each reading for each leaving VM; NULL: not needed. */
	void (*leaving)(void *ctx, struct pf_str name);
	void *ctx;
	/* Called at each reading with the whole list; NULL: not needed. */
	void (*list)(void *ctx, const struct pf_vm *v, uint32_t n);
};

/** Starts at once. NULL on a bad address or without memory. */
struct pf_vm_list *pf_vm_list_new(const struct pf_vm_list_opts *o);
void pf_vm_list_free(struct pf_vm_list *l);

PF_END_DECLS

#endif
