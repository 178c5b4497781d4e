/* Draft core: text forms of ids and rows, and building of transactions. */
#include "draft_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIME_DIGITS 13 /* hex, of the time in ms */
#define ID_LEN (1 + TIME_DIGITS + 16) /* shard, time, random number */

struct pf_str draft_row_key(char *buf, const char *kind, const char *id)
{
	snprintf(buf, DRAFT_KEY_MAX, "draft/%s/%s", kind, id);
	return pf_str_c(buf);
}

struct pf_str draft_idem_row_key(char *buf, uint64_t key)
{
	snprintf(buf, DRAFT_KEY_MAX, "draft/key/%016" PRIx64, key);
	return pf_str_c(buf);
}

struct pf_str draft_body_name(char *buf, const char *id)
{
	snprintf(buf, DRAFT_KEY_MAX, "draft-%s-body", id);
	return pf_str_c(buf);
}

struct pf_str draft_answer_name(char *buf, const char *id, uint32_t epoch)
{
	snprintf(buf, DRAFT_KEY_MAX, "draft-%s-answer-%" PRIu32, id, epoch);
	return pf_str_c(buf);
}

struct pf_str draft_row_format(char *buf, const struct draft_row *r)
{
	snprintf(buf, DRAFT_VALUE_MAX,
		 "%" PRIx64 " %" PRIx64 " %" PRIx64 " %" PRIx64 " %" PRIu32
		 " %" PRIu32 " %" PRId64,
		 r->caller, r->idem_key, r->body_digest, r->holder, r->epoch,
		 r->status, r->expiry);
	return pf_str_c(buf);
}

int draft_row_parse(struct pf_str value, struct draft_row *r)
{
	char buf[DRAFT_VALUE_MAX];
	int n = 0;

	if (value.n >= sizeof(buf))
		return -1;
	memcpy(buf, value.p, value.n);
	buf[value.n] = '\0';
	n = sscanf(buf,
		   "%" SCNx64 " %" SCNx64 " %" SCNx64 " %" SCNx64 " %" SCNu32
		   " %" SCNu32 " %" SCNd64,
		   &r->caller, &r->idem_key, &r->body_digest, &r->holder,
		   &r->epoch, &r->status, &r->expiry);
	return n == 7 ? 0 : -1;
}

void draft_id_format(char *id, uint32_t shard, pf_ms now, uint64_t random)
{
	snprintf(id, PF_DRAFT_ID_MAX, "%x%0*" PRIx64 "%016" PRIx64,
		 shard % PF_DRAFT_SHARDS, TIME_DIGITS, (uint64_t)now, random);
}

pf_ms draft_id_time(const char *id)
{
	char digits[TIME_DIGITS + 1];

	if (strlen(id) != ID_LEN)
		return -1;
	memcpy(digits, id + 1, TIME_DIGITS);
	digits[TIME_DIGITS] = '\0';
	return (pf_ms)strtoull(digits, NULL, 16);
}

bool draft_id_valid(struct pf_str id)
{
	if (id.n != ID_LEN)
		return false;
	for (size_t i = 0; i < id.n; i++)
		if (!strchr("0123456789abcdef", id.p[i]) || !id.p[i])
			return false;
	return true;
}

void draft_txn_init(struct draft_txn *t)
{
	t->n_keys = 0;
	t->n_values = 0;
	t->txn = (struct pf_table_txn){ .checks = t->checks,
					.puts = t->puts,
					.deletes = t->deletes };
}

static struct pf_str copy_key(struct draft_txn *t, struct pf_str key)
{
	char *to = t->keys[t->n_keys++];

	PF_INVARIANT("draft transaction fits its buffers",
		     t->n_keys <= DRAFT_TXN_ROWS_MAX && key.n < DRAFT_KEY_MAX);
	memcpy(to, key.p, key.n);
	to[key.n] = '\0';
	return (struct pf_str){ to, key.n };
}

void draft_txn_check(struct draft_txn *t, struct pf_str key, uint64_t revision)
{
	t->checks[t->txn.n_checks++] =
		(struct pf_table_check){ copy_key(t, key), revision };
}

void draft_txn_put(struct draft_txn *t, struct pf_str key, struct pf_str value)
{
	char *to = t->values[t->n_values++];

	PF_INVARIANT("draft row value fits", value.n < DRAFT_VALUE_MAX);
	memcpy(to, value.p, value.n);
	t->puts[t->txn.n_puts++] =
		(struct pf_table_put){ copy_key(t, key),
				       (struct pf_str){ to, value.n } };
}

void draft_txn_delete(struct draft_txn *t, struct pf_str key)
{
	t->deletes[t->txn.n_deletes++] = copy_key(t, key);
}
