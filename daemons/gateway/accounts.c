/*
 * Client accounts: checks the key of each request when it was read, so that a
 * revoked key starts nothing more, also on open connections. Endpoints get the
 * name of the account in place of the key.
 */
#include "gateway.h"

#include "pimentoford/counters.h"

#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

int accounts_start(struct gateway *g)
{
	struct pf_key_seeds *s = &g->key_seeds;

	if (RAND_bytes(s->secret.b, sizeof(s->secret.b)) == 1 &&
	    RAND_bytes(s->salt.b, sizeof(s->salt.b)) == 1)
		return 0;
	PF_LOG(&g->log, PF_LOG_ERROR, "no_random_numbers");
	return -1;
}

void accounts_stop(struct gateway *g)
{
	pf_client_keys_free(g->keys);
	g->keys = NULL;
}

static const char *reason_of(enum platform_key given)
{
	switch (given) {
	case PLATFORM_KEY_GIVEN:
		return "unknown_key";
	case PLATFORM_KEY_OTHER_SCHEME:
		return "other_scheme";
	case PLATFORM_KEY_REPEATED:
		return "repeated_key";
	case PLATFORM_KEY_NONE:
		break;
	}
	return "no_key";
}

static void count_check(struct gateway *g, bool accepted, bool is_public,
			enum platform_key given)
{
	enum pf_gateway_counter c = PF_GC_KEY_NONE;

	if (accepted)
		c = PF_GC_KEY_ACCEPTED;
	else if (is_public)
		c = PF_GC_KEY_PUBLIC;
	else if (given == PLATFORM_KEY_GIVEN)
		c = PF_GC_KEY_UNKNOWN;
	g->counters->v[c]++;
}

/* The name is copied: the configuration may change while the request waits. */
static int set_account(struct exchange *x, uint64_t id)
{
	const struct pf_client_account *a =
		pf_routes_find_account(x->gateway->routes, id);

	if (!a)
		return -1;
	x->account_name = strdup(a->name);
	x->account = id;
	x->account_priority = a->priority;
	return x->account_name ? 0 : -1;
}

int accounts_check(struct exchange *x, const struct pf_route *route,
		   int *status, const char **code)
{
	struct gateway *g = x->gateway;
	enum platform_key given;
	struct pf_str key;
	uint64_t account = 0;
	bool stale;

	if (!g->keys)
		return 0;
	given = platform_take_key(&x->head, &key);
	*status = 503;
	*code = "stale_configuration";
	/* The requests after a freeze may be read before any timer runs. */
	config_note_step(g);
	stale = config_may_be_stale(g);
	if (stale && !route->is_public)
		return -1;
	*code = "no_memory";
	if (given == PLATFORM_KEY_GIVEN && !stale &&
	    pf_client_keys_find(g->keys, key, &account) < 0)
		return -1;
	if (account && set_account(x, account) < 0)
		return -1;
	count_check(g, account != 0, route->is_public, given);
	if (account || route->is_public)
		return 0;
	*status = 401;
	*code = reason_of(given);
	return -1;
}

static uint32_t key_count(const struct pf_client_keys *k)
{
	return k ? pf_client_keys_count(k) : 0;
}

void accounts_set_keys(struct gateway *g, const struct pf_routes *routes,
		       struct pf_client_keys *keys)
{
	uint32_t n_accounts = g->routes ? g->routes->n_accounts : 0;

	if (routes->n_accounts != n_accounts ||
	    key_count(keys) != key_count(g->keys))
		PF_LOG(&g->log, PF_LOG_INFO, "accounts",
		       PF_KV_INT("version", routes->version),
		       PF_KV_INT("accounts", routes->n_accounts),
		       PF_KV_INT("accounts_before", n_accounts),
		       PF_KV_INT("keys", key_count(keys)),
		       PF_KV_INT("keys_before", key_count(g->keys)));
	pf_client_keys_free(g->keys);
	g->keys = keys;
	g->counters->v[PF_GC_ACCOUNTS] = routes->n_accounts;
	g->counters->v[PF_GC_KEYS] = key_count(keys);
}

void accounts_log_findings(struct gateway *g, const struct platform_config *c)
{
	const struct pf_findings *f = &c->findings;
	size_t i;

	for (i = 0; i < f->n; i++) {
		PF_LOG(&g->log, PF_LOG_ERROR, "account_error",
		       PF_KV_INT("version", c->routes->version),
		       PF_KV_STR("at", f->v[i].place),
		       PF_KV_STR("why", f->v[i].text));
	}
	if (f->truncated)
		PF_LOG(&g->log, PF_LOG_ERROR, "account_error",
		       PF_KV_INT("version", c->routes->version),
		       PF_KV_STR("why", "further errors aren't listed"));
}
