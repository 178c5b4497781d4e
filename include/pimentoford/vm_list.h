/*
 * Polls the platform's list of VMs and reports the leaving ones. The list lags
 * behind the real state. A poll that fails reports nothing.
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
	pf_ms poll_interval; /* mean; jittered by half of it */
	uint64_t seed; /* for the jitter */
	/* Called at each poll for each leaving VM; may be NULL. */
	void (*leaving)(void *ctx, struct pf_str name);
	void *ctx;
	/* Called at each poll with the whole list; may be NULL. */
	void (*list)(void *ctx, const struct pf_vm *v, uint32_t n);
};

/** Starts polling. Returns NULL on a malformed address or out of memory. */
struct pf_vm_list *pf_vm_list_new(const struct pf_vm_list_opts *o);
void pf_vm_list_free(struct pf_vm_list *l);

PF_END_DECLS

#endif
