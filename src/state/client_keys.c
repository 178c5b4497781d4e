/* Keys of client accounts, as keyed hashes. */
#include "pimentoford/client_keys.h"

#include "pimentoford/map.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdlib.h>
#include <string.h>

struct entry {
	struct pf_key_hash hash;
	uint64_t account;
};

struct pf_client_keys {
	struct pf_key_seeds seeds;
	struct pf_map by_hash; /* to indices of `entries` */
	struct entry *entries;
	uint32_t n;
	uint32_t cap;
};

static int keyed_hash(const struct pf_key_hash *k, const void *p, size_t n,
		      struct pf_key_hash *out)
{
	unsigned int len = 0;

	if (!HMAC(EVP_sha256(), k->b, sizeof(k->b), p, n, out->b, &len))
		return -1;
	return len == sizeof(out->b) ? 0 : -1;
}

int pf_client_key_hash(const struct pf_key_hash *salt, struct pf_str key,
		       struct pf_key_hash *out)
{
	return keyed_hash(salt, key.p, key.n, out);
}

/* 128 bits of a hash under a secret: no two keys of a table share them. */
static int lookup_key(const struct pf_client_keys *k,
		      const struct pf_key_hash *h, struct pf_key *out)
{
	struct pf_key_hash secret;

	if (keyed_hash(&k->seeds.secret, h->b, sizeof(h->b), &secret) < 0)
		return -1;
	memcpy(&out->a, secret.b, sizeof(out->a));
	memcpy(&out->b, secret.b + sizeof(out->a), sizeof(out->b));
	return 0;
}

struct pf_client_keys *pf_client_keys_new(const struct pf_key_seeds *seeds,
					  uint32_t cap)
{
	struct pf_client_keys *k = calloc(1, sizeof(*k));

	if (!k)
		return NULL;
	k->seeds = *seeds;
	k->cap = cap;
	k->entries = calloc((size_t)cap + 1, sizeof(*k->entries));
	if (!k->entries || pf_map_init(&k->by_hash, cap + 1) < 0) {
		pf_client_keys_free(k);
		return NULL;
	}
	return k;
}

void pf_client_keys_free(struct pf_client_keys *k)
{
	if (!k)
		return;
	pf_map_free(&k->by_hash);
	free(k->entries);
	OPENSSL_cleanse(k, sizeof(*k));
	free(k);
}

enum pf_client_keys_added pf_client_keys_add(struct pf_client_keys *k,
					     uint64_t account,
					     const struct pf_key_hash *h)
{
	struct pf_key key;

	if (lookup_key(k, h, &key) < 0)
		return PF_CLIENT_KEYS_ERROR;
	if (pf_map_get(&k->by_hash, key, NULL) == 0)
		return PF_CLIENT_KEYS_PRESENT;
	if (k->n == k->cap || pf_map_put(&k->by_hash, key, k->n) < 0)
		return PF_CLIENT_KEYS_FULL;
	k->entries[k->n].hash = *h;
	k->entries[k->n].account = account;
	k->n++;
	return PF_CLIENT_KEYS_ADDED;
}

int pf_client_keys_find(const struct pf_client_keys *k, struct pf_str key,
			uint64_t *account)
{
	struct pf_key_hash h;
	struct pf_key found;
	uint32_t i;

	*account = 0;
	if (pf_client_key_hash(&k->seeds.salt, key, &h) < 0 ||
	    lookup_key(k, &h, &found) < 0)
		return -1;
	if (pf_map_get(&k->by_hash, found, &i) == 0)
		*account = k->entries[i].account;
	return 0;
}

uint32_t pf_client_keys_count(const struct pf_client_keys *k)
{
	return k->n;
}

const struct pf_key_hash *pf_client_keys_at(const struct pf_client_keys *k,
					    uint32_t i, uint64_t *account)
{
	*account = k->entries[i].account;
	return &k->entries[i].hash;
}

const struct pf_key_hash *pf_client_keys_salt(const struct pf_client_keys *k)
{
	return &k->seeds.salt;
}
