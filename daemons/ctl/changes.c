/*
 * Commands that change the configuration. A change is identified by its id and
 * applied at most once, so resending it to another entry or later is safe.
 */
#include "ctl.h"

#include "pimentoford/accept.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A change that is sent, and what is known of it. */
struct sending {
	struct reply reply; /* the last one */
	bool in_doubt; /* an entry may have applied it */
};

/* Sends a change to the entries in order until one gives an answer. */
static void send_change(struct ctl *c, const char *target, json_t *body,
			struct sending *s)
{
	struct reply *r = &s->reply;

	s->in_doubt = c->id_given;
	for (char **e = c->entries; *e; e++) {
		char *text;

		json_object_set_new(body, "resent", json_boolean(s->in_doubt));
		text = json_dumps(body, JSON_COMPACT);
		if (!text)
			return;
		pf_text_free(&r->body);
		ctl_request(c, *e, "POST", target, text, r);
		free(text);
		if (r->status && r->status < 500)
			return;
		fprintf(stderr, "pimentoctl: %s: %s\n", *e,
			r->status == 503 ? "unavailable"
			: r->status      ? "outcome unknown"
					 : "no answer");
		s->in_doubt |= r->status != 503;
	}
}

static void print_findings(const json_t *j)
{
	const json_t *arr = json_object_get(j, "findings");

	for (size_t i = 0; i < json_array_size(arr); i++) {
		const json_t *f = json_array_get(arr, i);
		const char *place =
			json_string_value(json_object_get(f, "place"));
		const char *text =
			json_string_value(json_object_get(f, "text"));

		fprintf(stderr, "%s: %s\n", place ? place : "?",
			text ? text : "?");
	}
}

static int exit_code_of(const struct sending *s)
{
	switch (s->reply.status) {
	case 200:
		return EXIT_OK;
	case 400:
	case 409:
		return EXIT_REFUSED;
	case 503:
		return EXIT_UNKNOWN;
	default:
		return s->in_doubt ? EXIT_UNKNOWN : EXIT_REFUSED;
	}
}

/*
 * Prints the outcome in the reply. False when there is none, or when it is only
 * that this entry did not apply the change.
 */
static bool print_outcome(const struct ctl *c, const struct sending *s)
{
	const char *away_code = pf_change_outcome_code(PF_CHANGE_UNAVAILABLE);
	const struct pf_text *body = &s->reply.body;
	json_t *j = json_loadb(body->p ? body->p : "", body->n, 0, NULL);
	const char *outcome = json_string_value(json_object_get(j, "outcome"));
	bool away = outcome && strcmp(outcome, away_code) == 0;
	bool print = outcome && !(away && s->in_doubt);

	if (print && c->json) {
		printf("%s\n", body->p);
	} else if (print) {
		print_findings(j);
		printf("id=%s outcome=%s revision=%lld\n", c->change_id,
		       outcome,
		       (long long)json_integer_value(
			       json_object_get(j, "revision")));
	}
	json_decref(j);
	return print;
}

static int report_outcome(const struct ctl *c, const struct sending *s)
{
	int status = s->reply.status;
	bool unknown = s->in_doubt || status == 200;
	int code = exit_code_of(s);

	if (!print_outcome(c, s)) {
		if (status >= 400 && status < 500)
			print_error_reply(&s->reply);
		if (code != EXIT_REFUSED)
			printf("id=%s outcome=%s\n", c->change_id,
			       pf_change_outcome_code(
				       unknown ? PF_CHANGE_UNKNOWN
					       : PF_CHANGE_UNAVAILABLE));
	}
	if (code == EXIT_UNKNOWN)
		fprintf(stderr,
			"pimentoctl: %sto make sure that the change is "
			"applied, send it again with --id %s\n",
			s->in_doubt ? "" : "not applied; ", c->change_id);
	return code;
}

static int send_and_report(struct ctl *c, const char *target, json_t *body)
{
	struct sending s = { 0 };
	int code;

	if (!body)
		return EXIT_UNKNOWN;
	if (c->base_revision >= 0)
		json_object_set_new(body, "base",
				    json_integer(c->base_revision));
	send_change(c, target, body, &s);
	code = report_outcome(c, &s);
	pf_text_free(&s.reply.body);
	json_decref(body);
	return code;
}

/* Sends a single file verbatim, so that findings have its line numbers. */
static char *text_to_send(char **paths, const struct pf_records *set)
{
	struct pf_text t = { 0 };
	char *text;
	gsize n;

	if (!paths[1] && g_file_get_contents(paths[0], &text, &n, NULL))
		return text;
	pf_records_text(set, &t);
	return pf_text_take(&t);
}

int cmd_apply(struct ctl *c, char **args)
{
	struct pf_records set = { 0 };
	char *text;
	int code = EXIT_INVALID;

	if (read_record_files(args, &set) == 0) {
		text = text_to_send(args, &set);
		code = send_and_report(
			c, "/admin/apply",
			json_pack("{s:s,s:s,s:s,s:s}", "id", c->change_id,
				  "who", c->who, "text", text ? text : "",
				  "source",
				  args[1] ? "several files" : args[0]));
		free(text);
	}
	pf_records_free(&set);
	return code;
}

int cmd_delete(struct ctl *c, char **args)
{
	enum pf_kind kind;

	if (pf_kind_parse(pf_str_c(args[0]), &kind) < 0) {
		fprintf(stderr, "pimentoctl: unknown kind of record: %s\n",
			args[0]);
		return EXIT_INVALID;
	}
	return send_and_report(c, "/admin/apply",
			       json_pack("{s:s,s:s,s:[{s:s,s:s}]}", "id",
					 c->change_id, "who", c->who, "delete",
					 "kind", args[0], "name", args[1]));
}

int cmd_drain(struct ctl *c, char **args)
{
	char *name = g_uri_escape_string(args[0], NULL, false);
	char *target = g_strdup_printf("/admin/drain?endpoint=%s", name);
	int code = send_and_report(c, target,
				   json_pack("{s:s,s:s}", "id", c->change_id,
					     "who", c->who));

	g_free(target);
	g_free(name);
	return code;
}
