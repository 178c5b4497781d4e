/*
 * Claim core: keys and values of its table rows. NNNN is the shard, FP the
 * fingerprint.
 *
 * owner/SVC/AGENT       inc N beat N leaving 0|1
 * shard/SVC/NNNN        epoch N owner AGENT INC, then "log AGENT INC UNTIL"
 * claimlog/SVC/AGENT.INC/SEQ
 *   t MS                wall-clock time of the row
 *   c SHARD KEY FP      claim
 *   r SHARD KEY LEN     result; LEN bytes of answer and a newline follow
 *   d SHARD KEY         result without its answer, which was too long
 *   v SHARD KEY         void
 */
#include "claim_core.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

void claim_agent_row_key(const struct pf_claim *c, uint64_t agent, char *out)
{
	snprintf(out, CLAIM_ROW_KEY_MAX, PF_CLAIM_OWNER_PREFIX "%s/%016" PRIx64,
		 c->service, agent);
}

void claim_shard_row_key(const struct pf_claim *c, uint32_t shard, char *out)
{
	snprintf(out, CLAIM_ROW_KEY_MAX, PF_CLAIM_SHARD_PREFIX "%s/%04u",
		 c->service, shard);
}

void claim_log_prefix(const struct pf_claim *c, struct claim_log_id id,
		      char *out)
{
	snprintf(out, CLAIM_ROW_KEY_MAX,
		 PF_CLAIM_LOG_PREFIX "%s/%016" PRIx64 ".%" PRIu64 "/",
		 c->service, id.agent, id.incarnation);
}

void claim_log_row_key(const struct pf_claim *c, struct claim_log_id id,
		       uint64_t seq, char *out)
{
	snprintf(out, CLAIM_ROW_KEY_MAX,
		 PF_CLAIM_LOG_PREFIX "%s/%016" PRIx64 ".%" PRIu64
				     "/%012" PRIu64,
		 c->service, id.agent, id.incarnation, seq);
}

void claim_agent_row_text(const struct pf_claim *c, struct pf_text *t)
{
	pf_text_printf(t, "inc %" PRIu64 " beat %" PRIu64 " leaving %d",
		       c->opts.incarnation, c->heartbeat, c->draining);
}

/* Copies @s to @out as a C string. 0, or -1 when it does not fit. */
static int copy_cstr(struct pf_str s, char *out, size_t size)
{
	if (s.n >= size)
		return -1;
	if (s.n)
		memcpy(out, s.p, s.n);
	out[s.n] = '\0';
	return 0;
}

/* Takes a line off the front of @rest; @out gets it without the newline. */
static int take_line(struct pf_str *rest, char *out, size_t size)
{
	const char *nl = rest->n ? memchr(rest->p, '\n', rest->n) : NULL;
	size_t n = nl ? (size_t)(nl - rest->p) : rest->n;
	struct pf_str line = { rest->p, n };

	if (rest->n == 0 || copy_cstr(line, out, size) < 0)
		return -1;
	n += nl ? 1 : 0;
	rest->p += n;
	rest->n -= n;
	return 0;
}

int claim_agent_row_parse(struct pf_str key, struct pf_str value,
			  struct claim_agent *agent)
{
	char k[CLAIM_ROW_KEY_MAX], v[CLAIM_ROW_KEY_MAX];
	const char *slash;
	int leaving;

	if (copy_cstr(key, k, sizeof(k)) < 0 ||
	    copy_cstr(value, v, sizeof(v)) < 0)
		return -1;
	slash = strrchr(k, '/');
	if (!slash || sscanf(slash + 1, "%" SCNx64, &agent->id) != 1)
		return -1;
	if (sscanf(v, "inc %" SCNu64 " beat %" SCNu64 " leaving %d",
		   &agent->incarnation, &agent->heartbeat, &leaving) != 3)
		return -1;
	agent->leaving = leaving != 0;
	return 0;
}

static void past_owner_text(struct claim_log_id id, pf_ms until,
			    struct pf_text *t)
{
	pf_text_printf(t, "log %" PRIx64 " %" PRIu64 " %" PRId64 "\n", id.agent,
		       id.incarnation, until);
}

void claim_shard_row_text(const struct claim_shard *s, struct claim_log_id to,
			  pf_ms now, struct pf_text *t)
{
	pf_text_printf(t, "epoch %" PRIu64 " owner %" PRIx64 " %" PRIu64 "\n",
		       s->epoch + 1, to.agent, to.incarnation);
	for (uint32_t i = 0; i < s->n_past_owners; i++)
		past_owner_text(s->past_owners[i].id,
				s->past_owners[i].owned_until, t);
	if (s->revision)
		past_owner_text(s->owner, now, t);
}

int claim_shard_row_parse(const struct pf_claim *c, struct pf_str value,
			  struct claim_shard *s)
{
	char line[CLAIM_ROW_KEY_MAX];

	if (take_line(&value, line, sizeof(line)) < 0)
		return -1;
	if (sscanf(line, "epoch %" SCNu64 " owner %" SCNx64 " %" SCNu64,
		   &s->epoch, &s->owner.agent, &s->owner.incarnation) != 3)
		return -1;
	s->n_past_owners = 0;
	while (value.n) {
		struct claim_log_id id;
		pf_ms until;

		if (s->n_past_owners >= c->opts.past_owners_max ||
		    take_line(&value, line, sizeof(line)) < 0)
			return -1;
		if (sscanf(line, "log %" SCNx64 " %" SCNu64 " %" SCNd64,
			   &id.agent, &id.incarnation, &until) != 3)
			return -1;
		s->past_owners[s->n_past_owners].id = id;
		s->past_owners[s->n_past_owners].owned_until = until;
		s->n_past_owners++;
	}
	return 0;
}

int claim_shard_row_number(const struct pf_claim *c, struct pf_str key)
{
	char k[CLAIM_ROW_KEY_MAX], expected[CLAIM_ROW_KEY_MAX];
	const char *slash;
	unsigned int n;

	if (copy_cstr(key, k, sizeof(k)) < 0)
		return -1;
	slash = strrchr(k, '/');
	if (!slash || sscanf(slash + 1, "%u", &n) != 1 || n >= c->opts.shards)
		return -1;
	claim_shard_row_key(c, n, expected);
	return strcmp(k, expected) == 0 ? (int)n : -1;
}

void claim_log_row_begin(struct pf_text *t, pf_ms at)
{
	pf_text_reset(t);
	pf_text_printf(t, "t %" PRId64 "\n", at);
}

void claim_log_row_add(struct pf_text *t, const struct claim_key *k,
		       const struct claim_entry *e)
{
	switch (e->type) {
	case ENTRY_CLAIM:
		pf_text_printf(t, "c %u %" PRIx64 " %" PRIx64 "\n", k->shard,
			       k->key, k->fingerprint);
		break;
	case ENTRY_RESULT:
		if (!e->answer) {
			pf_text_printf(t, "d %u %" PRIx64 "\n", k->shard,
				       k->key);
			break;
		}
		pf_text_printf(t, "r %u %" PRIx64 " %zu\n", k->shard, k->key,
			       e->answer_len);
		pf_text_add(t, (struct pf_str){ e->answer, e->answer_len });
		pf_text_add(t, PF_STR("\n"));
		break;
	case ENTRY_VOID:
		pf_text_printf(t, "v %u %" PRIx64 "\n", k->shard, k->key);
		break;
	}
}

int claim_log_row_time(struct pf_str *rest, pf_ms *at)
{
	char line[CLAIM_ROW_KEY_MAX];

	if (take_line(rest, line, sizeof(line)) < 0)
		return -1;
	return sscanf(line, "t %" SCNd64, at) == 1 ? 0 : -1;
}

static int take_answer(struct pf_str *rest, size_t n,
		       struct claim_parsed_entry *e)
{
	if (rest->n < n + 1 || rest->p[n] != '\n')
		return -1;
	e->answer = (struct pf_str){ rest->p, n };
	e->has_answer = true;
	rest->p += n + 1;
	rest->n -= n + 1;
	return 0;
}

int claim_log_row_next(struct pf_str *rest, struct claim_parsed_entry *e)
{
	char line[CLAIM_ROW_KEY_MAX];
	size_t n;

	memset(e, 0, sizeof(*e));
	if (rest->n == 0)
		return 0;
	if (take_line(rest, line, sizeof(line)) < 0)
		return -1;
	switch (line[0]) {
	case 'c':
		e->type = ENTRY_CLAIM;
		if (sscanf(line, "c %u %" SCNx64 " %" SCNx64, &e->shard,
			   &e->key, &e->fingerprint) != 3)
			return -1;
		return 1;
	case 'r':
		e->type = ENTRY_RESULT;
		if (sscanf(line, "r %u %" SCNx64 " %zu", &e->shard, &e->key,
			   &n) != 3)
			return -1;
		return take_answer(rest, n, e) < 0 ? -1 : 1;
	case 'd':
	case 'v':
		e->type = line[0] == 'd' ? ENTRY_RESULT : ENTRY_VOID;
		if (sscanf(line + 1, " %u %" SCNx64, &e->shard, &e->key) != 2)
			return -1;
		return 1;
	default:
		return -1;
	}
}
