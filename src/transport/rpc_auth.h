/* Proofs that a peer holds the deployment's key. */
#ifndef PF_TRANSPORT_RPC_AUTH_H
#define PF_TRANSPORT_RPC_AUTH_H

#include "pimentoford/base.h"
#include "src/protocol/pimento_xdr.h"

PF_BEGIN_DECLS

/** Which side makes a proof; a proof of one side is no proof of the other. */
enum pf_proof_side { PF_PROOF_SERVER = 1, PF_PROOF_CLIENT = 2 };

/** Fills @h->nonce with random bytes. 0 or -1. */
int pf_auth_nonce(pimento_hello *h);

/**
 * HMAC-SHA256 with @key over the side and both hellos, so that neither
 * nonces, roles nor ids can be exchanged. 0 or -1.
 */
int pf_auth_prove(struct pf_str key, enum pf_proof_side side,
		  const pimento_hello *client, const pimento_hello *server,
		  char proof[PIMENTO_PROOF]);

/** Whether @proof is right; takes the same time for any wrong one. */
bool pf_auth_check(struct pf_str key, enum pf_proof_side side,
		   const pimento_hello *client, const pimento_hello *server,
		   const char proof[PIMENTO_PROOF]);

PF_END_DECLS

#endif
