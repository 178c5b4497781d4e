/* Proofs that a peer holds the deployment key. */
#ifndef PF_TRANSPORT_RPC_AUTH_H
#define PF_TRANSPORT_RPC_AUTH_H

#include "pimentoford/base.h"
#include "src/protocol/pimento_xdr.h"

PF_BEGIN_DECLS

/** The side that makes a proof; part of it, so proofs can't be reflected. */
enum pf_proof_side { PF_PROOF_SERVER = 1, PF_PROOF_CLIENT = 2 };

/** Fills @h->nonce with random bytes. Returns 0 or -1. */
int pf_auth_nonce(pimento_hello *h);

/**
 * Computes HMAC-SHA256 with @key over the side and both hellos, which binds
 * the proof to the nonces, roles and ids. Returns 0 or -1.
 */
int pf_auth_prove(struct pf_str key, enum pf_proof_side side,
		  const pimento_hello *client, const pimento_hello *server,
		  char proof[PIMENTO_PROOF]);

/** Checks @proof with a constant-time comparison. */
bool pf_auth_check(struct pf_str key, enum pf_proof_side side,
		   const pimento_hello *client, const pimento_hello *server,
		   const char proof[PIMENTO_PROOF]);

PF_END_DECLS

#endif
