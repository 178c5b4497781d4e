/*
 * Datagrams among gateways and loaders, in XDR. One that is lost is replaced
 * by the next: nothing that must arrive goes this way.
 */
#ifndef PIMENTOFORD_TALK_H
#define PIMENTOFORD_TALK_H

#include "pimentoford/gate.h"
#include "pimentoford/loader.h"
#include "pimentoford/log.h"

#include <netinet/in.h>

struct event_base;

PF_BEGIN_DECLS

struct pf_talk;

/** What a gateway knows of the store, for those that read it less often. */
struct pf_talk_store_view {
	uint64_t config_version; /* version in force */
	uint64_t
		endpoints_revision; /* revision at which one came, went or drained */
	pf_ms store_age; /* since the store answered */
};

/** Callbacks may be NULL: such datagrams are dropped. */
struct pf_talk_opts {
	struct event_base *base;
	const char *addr; /* IP:PORT to listen at */
	const struct pf_log *log; /* borrowed */
	void (*digest)(void *ctx, const struct sockaddr_in *from,
		       const struct pf_gate_digest *d,
		       const struct pf_talk_store_view *news);
	void (*demand)(void *ctx, uint64_t peer, const struct pf_gate_demand *v,
		       size_t n);
	void (*state)(void *ctx, const struct pf_engine_state *s);
	void (*usage)(void *ctx, const struct sockaddr_in *from,
		      const struct pf_loader_usage *w);
	void (*order)(void *ctx, const struct sockaddr_in *from,
		      const struct pf_loader_order *o);
	void *ctx;
};

/** NULL when the address can't be had or there is no memory. */
struct pf_talk *pf_talk_new(const struct pf_talk_opts *o);
void pf_talk_free(struct pf_talk *t);

void pf_talk_send_digest(struct pf_talk *t, const struct sockaddr_in *to,
			 const struct pf_gate_digest *d,
			 const struct pf_talk_store_view *news);
/** In as many datagrams as it takes. */
void pf_talk_send_demand(struct pf_talk *t, const struct sockaddr_in *to,
			 uint64_t peer, const struct pf_gate_demand *v,
			 size_t n);
void pf_talk_send_state(struct pf_talk *t, const struct sockaddr_in *to,
			const struct pf_engine_state *s);
void pf_talk_send_usage(struct pf_talk *t, const struct sockaddr_in *to,
			const struct pf_loader_usage *w);
void pf_talk_send_order(struct pf_talk *t, const struct sockaddr_in *to,
			const struct pf_loader_order *o);

/** Reads IP:PORT. 0 or -1. */
int pf_talk_addr(const char *text, struct sockaddr_in *out);

bool pf_talk_same_addr(const struct sockaddr_in *a,
		       const struct sockaddr_in *b);

PF_END_DECLS

#endif
