/*
 * UDP datagrams between gateways and loaders, encoded in XDR. Delivery is best
 * effort: each is sent periodically and replaces the one before.
 */
#ifndef PIMENTOFORD_TALK_H
#define PIMENTOFORD_TALK_H

#include "pimentoford/allowance.h"
#include "pimentoford/era.h"
#include "pimentoford/gate.h"
#include "pimentoford/loader.h"
#include "pimentoford/log.h"

#include <netinet/in.h>

struct event_base;

PF_BEGIN_DECLS

struct pf_talk;

/** Store state as a gateway last read it, sent along with its digest. */
struct pf_talk_store_view {
	uint64_t config_version; /* of the active configuration */
	uint64_t endpoints_revision; /* of the last change of endpoints */
	pf_ms store_age; /* since the last reply of the store */
	int64_t era; /* of endpoints_revision, or PF_ERA_UNKNOWN */
};

/** Datagrams without a callback are dropped. */
struct pf_talk_opts {
	struct event_base *base;
	const char *addr; /* IP:PORT to bind */
	const struct pf_log *log; /* borrowed */
	/* Digest of a gateway. */
	void (*digest)(void *ctx, const struct sockaddr_in *from,
		       const struct pf_gate_digest *d,
		       const struct pf_talk_store_view *view);
	/* Evidence of the gateway @peer about prompt parts. */
	void (*evidence)(void *ctx, uint64_t peer,
			 const struct pf_gate_evidence *v, uint32_t n);
	/* Limits of endpoints, from the gateway @peer. */
	void (*limits)(void *ctx, uint64_t peer, const struct pf_gate_limit *v,
		       uint32_t n);
	/* From a gateway, which may be replied to. */
	void (*note)(void *ctx, const struct sockaddr_in *from,
		     const struct pf_gate_note *n);
	/* About the allowance of a client account; of other gateways. */
	void (*allowance_ask)(void *ctx, const struct sockaddr_in *from,
			      const struct pf_allowance_ask *a);
	void (*allowance_grant)(void *ctx, const struct sockaddr_in *from,
				const struct pf_allowance_grant *g);
	/* Demand seen by the gateway @peer. */
	void (*demand)(void *ctx, uint64_t peer, const struct pf_gate_demand *v,
		       size_t n);
	/* State of an engine, from its loader. */
	void (*state)(void *ctx, const struct pf_engine_state *s);
	/* Usage of an engine and items it needs, from a gateway. */
	void (*usage)(void *ctx, const struct sockaddr_in *from,
		      const struct pf_loader_usage *u);
	/* Order to load or unload, from a gateway. */
	void (*order)(void *ctx, const struct sockaddr_in *from,
		      const struct pf_loader_order *o);
	void *ctx;
};

/** Returns NULL when the address can't be bound or out of memory. */
struct pf_talk *pf_talk_new(const struct pf_talk_opts *o);
void pf_talk_free(struct pf_talk *t);

void pf_talk_send_digest(struct pf_talk *t, const struct sockaddr_in *to,
			 const struct pf_gate_digest *d,
			 const struct pf_talk_store_view *view);
/** @n: at most PF_GATE_EVIDENCE_MAX. */
void pf_talk_send_evidence(struct pf_talk *t, const struct sockaddr_in *to,
			   uint64_t peer, const struct pf_gate_evidence *v,
			   uint32_t n);
/** @n: at most PF_GATE_LIMITS_MAX. */
void pf_talk_send_limits(struct pf_talk *t, const struct sockaddr_in *to,
			 uint64_t peer, const struct pf_gate_limit *v,
			 uint32_t n);
void pf_talk_send_note(struct pf_talk *t, const struct sockaddr_in *to,
		       const struct pf_gate_note *n);
void pf_talk_send_allowance_ask(struct pf_talk *t, const struct sockaddr_in *to,
				const struct pf_allowance_ask *a);
void pf_talk_send_allowance_grant(struct pf_talk *t,
				  const struct sockaddr_in *to,
				  const struct pf_allowance_grant *g);
/** Sends @v in as many datagrams as needed, at least one. */
void pf_talk_send_demand(struct pf_talk *t, const struct sockaddr_in *to,
			 uint64_t peer, const struct pf_gate_demand *v,
			 size_t n);
void pf_talk_send_state(struct pf_talk *t, const struct sockaddr_in *to,
			const struct pf_engine_state *s);
void pf_talk_send_usage(struct pf_talk *t, const struct sockaddr_in *to,
			const struct pf_loader_usage *u);
void pf_talk_send_order(struct pf_talk *t, const struct sockaddr_in *to,
			const struct pf_loader_order *o);

/** Parses IP:PORT with an IPv4 address. Returns 0 or -1. */
int pf_talk_addr(const char *text, struct sockaddr_in *out);

bool pf_talk_same_addr(const struct sockaddr_in *a,
		       const struct sockaddr_in *b);

PF_END_DECLS

#endif
