/* Proofs that a peer holds the deployment key. */
#include "src/transport/rpc_auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

/* Room for the side and two hellos in XDR. */
#define PROOF_INPUT_BYTES 256

int pf_auth_nonce(pimento_hello *h)
{
	return RAND_bytes((unsigned char *)h->nonce, PIMENTO_NONCE) == 1 ? 0
									 : -1;
}

int pf_auth_prove(struct pf_str key, enum pf_proof_side side,
		  const pimento_hello *client, const pimento_hello *server,
		  char proof[PIMENTO_PROOF])
{
	pimento_hello c = *client;
	pimento_hello s = *server;
	char bytes[PROOF_INPUT_BYTES];
	unsigned int n = PIMENTO_PROOF;
	u_int side_number = side;
	XDR xdrs;

	xdrmem_create(&xdrs, bytes, sizeof(bytes), XDR_ENCODE);
	if (!xdr_u_int(&xdrs, &side_number) || !xdr_pimento_hello(&xdrs, &c) ||
	    !xdr_pimento_hello(&xdrs, &s))
		return -1;
	if (!HMAC(EVP_sha256(), key.p, (int)key.n, (unsigned char *)bytes,
		  xdr_getpos(&xdrs), (unsigned char *)proof, &n))
		return -1;
	return n == PIMENTO_PROOF ? 0 : -1;
}

bool pf_auth_check(struct pf_str key, enum pf_proof_side side,
		   const pimento_hello *client, const pimento_hello *server,
		   const char proof[PIMENTO_PROOF])
{
	char expected[PIMENTO_PROOF];

	if (pf_auth_prove(key, side, client, server, expected) < 0)
		return false;
	return CRYPTO_memcmp(expected, proof, PIMENTO_PROOF) == 0;
}
