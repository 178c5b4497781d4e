/*
 * What a caller's request says and what an endpoint answers, freed from the
 * names that they have on the wire.
 */
#ifndef PIMENTOFORD_INBOUND_H
#define PIMENTOFORD_INBOUND_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

#define PF_PROMPT_PARTS_MAX 12

/** A part of a prompt; requests that begin with the same parts share them. */
struct pf_prompt_part {
	uint64_t id;
	uint32_t tokens;
};

/** Strings borrow the request's head. */
struct pf_inbound {
	struct pf_str id; /* of this try of the caller; empty: none */
	struct pf_str host;
	uint64_t model; /* 0: none */
	uint64_t adapter; /* 0: none */
	struct pf_str model_name; /* with the adapter behind a slash */
	struct pf_str adapter_name;
	uint32_t prompt_tokens;
	uint32_t max_tokens; /* of output, that the caller allows */
	uint32_t output_hint; /* the caller's estimate of it; 0: none */
	struct pf_prompt_part parts[PF_PROMPT_PARTS_MAX]; /* in order */
	uint32_t n_parts;
	pf_ms budget; /* how long the caller will wait; 0: not said */
	int64_t last_event; /* the caller has the stream up to it; -1: none */
};

/** How a request goes to an endpoint. */
struct pf_forward {
	struct pf_str instance; /* no other endpoint may run it */
	pf_ms budget; /* that is left; 0: not said */
	int priority; /* 0 is first; -1: not said */
	int64_t last_event; /* the stream goes on after it; -1: from the start */
	size_t body; /* bytes; sent with a length */
};

/** What an answer's head says. */
struct pf_reply {
	int status;
	bool other_request; /* it answers another request */
	bool has_request_id; /* it names the request that it answers */
	bool not_run; /* the endpoint states that the request did not run */
	bool other_instance; /* another endpoint stands at the address */
	pf_ms retry_after; /* -1: not said */
	pf_ms keep_alive; /* how long the connection may stay idle; -1: not said */
};

PF_END_DECLS

#endif
