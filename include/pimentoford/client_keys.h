/*
 * Keys of client accounts. A table holds no key in clear text: keys are salted
 * hashes (HMAC-SHA256), which gateways may pass on to each other, and are looked
 * up by a second hash under a secret of this process. So a lookup takes the same
 * time whatever the number of keys and however much of one was guessed.
 *
 * A table grows to its capacity and is replaced whole; nothing is evicted.
 */
#ifndef PIMENTOFORD_CLIENT_KEYS_H
#define PIMENTOFORD_CLIENT_KEYS_H

#include "pimentoford/base.h"

PF_BEGIN_DECLS

/* Of all accounts together. Their hashes, 67 bytes each as text, fit into the
 * 4 MB that a gateway takes as a configuration; a full table takes 5 MB. */
#define PF_CLIENT_KEYS_MAX 32768
#define PF_KEY_BYTES 32

/** A secret, a salt, or a key hashed with one. */
struct pf_key_hash {
	unsigned char b[PF_KEY_BYTES];
};

struct pf_key_seeds {
	struct pf_key_hash secret; /* never leaves the process */
	struct pf_key_hash salt; /* of the hashes that peers get */
};

struct pf_client_keys;

/** Hashes @key with @salt. Returns 0 or -1 (out of memory). */
int pf_client_key_hash(const struct pf_key_hash *salt, struct pf_str key,
		       struct pf_key_hash *out);

/** Returns an empty table of up to @cap keys, or NULL without memory. */
struct pf_client_keys *pf_client_keys_new(const struct pf_key_seeds *seeds,
					  uint32_t cap);
void pf_client_keys_free(struct pf_client_keys *k);

enum pf_client_keys_added {
	PF_CLIENT_KEYS_ADDED,
	PF_CLIENT_KEYS_PRESENT, /* of this or another account; not changed */
	PF_CLIENT_KEYS_FULL,
	PF_CLIENT_KEYS_ERROR, /* out of memory */
};

/** Adds the key with the salted hash @h to @account, which is not 0. */
enum pf_client_keys_added pf_client_keys_add(struct pf_client_keys *k,
					     uint64_t account,
					     const struct pf_key_hash *h);

/**
 * Sets @account to that of @key; to 0 if the key is unknown. Returns 0, or -1
 * if that can't be told (out of memory).
 */
int pf_client_keys_find(const struct pf_client_keys *k, struct pf_str key,
			uint64_t *account);

uint32_t pf_client_keys_count(const struct pf_client_keys *k);
/** Returns the hash of the key number @i and its account. */
const struct pf_key_hash *pf_client_keys_at(const struct pf_client_keys *k,
					    uint32_t i, uint64_t *account);
/** The salt of the table's hashes. */
const struct pf_key_hash *pf_client_keys_salt(const struct pf_client_keys *k);

PF_END_DECLS

#endif
