/*
 * A caller's request and an endpoint's answer, decoded from the platform's
 * headers and body fields.
 */
#ifndef PIMENTOFORD_INBOUND_H
#define PIMENTOFORD_INBOUND_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/** A part of a prompt; requests whose first parts are equal share a prefix. */
struct pf_prompt_part {
	uint64_t id;
	uint32_t tokens;
	struct pf_str name; /* that `id` is the hash of; borrows the head */
};

/** A decoded request. Strings borrow the request's head. */
struct pf_inbound {
	struct pf_str id; /* attempt id given by the caller; empty: none */
	struct pf_str host;
	uint64_t model; /* 0: none */
	uint64_t adapter; /* 0: none */
	struct pf_str model_name; /* "MODEL" or "MODEL/ADAPTER" */
	struct pf_str adapter_name;
	uint32_t prompt_tokens;
	uint32_t max_tokens; /* limit of the output */
	uint32_t output_hint; /* caller's estimate of the output; 0: none */
	struct pf_prompt_part *parts; /* in prompt order; owned */
	uint32_t n_parts;
	struct pf_str parts_text; /* the parts as the caller sent them */
	pf_ms time_left; /* until the caller's deadline; 0: unset */
	int64_t last_event; /* resume the stream after this event; -1: none */
	/* Id of the attempt that brought its first event; empty: none. */
	struct pf_str resumes;
};

/** Frees what @in owns. */
void pf_inbound_clear(struct pf_inbound *in);

/** Headers of a request to an endpoint. */
struct pf_forward {
	struct pf_str instance; /* any other instance must refuse it */
	pf_ms time_left; /* until the deadline; 0: unset */
	int priority; /* 0: highest; -1: unset */
	int64_t last_event; /* resume after this event; -1: from the start */
	size_t body; /* Content-Length */
	struct pf_str account; /* name of the client's account; empty: none */
};

/** The head of an endpoint's answer. */
struct pf_reply {
	int status;
	bool other_request; /* its request id is not ours */
	bool has_request_id; /* the answer carries a request id */
	bool not_run; /* the endpoint did not run the request */
	bool other_instance; /* another endpoint has this address now */
	bool leaving; /* the endpoint leaves: no new requests */
	pf_ms retry_after; /* -1: unset or malformed */
	bool bad_retry_after; /* malformed */
	double limit_per_s; /* requests that it takes; < 0: unset or malformed */
	bool bad_limit; /* malformed */
	pf_ms keep_alive; /* idle timeout of the connection; -1: unset */
};

PF_END_DECLS

#endif
