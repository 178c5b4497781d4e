/* Commands for a gateway, which answers them at its metrics address. */
#include "ctl.h"

#include <stdio.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404

/* The error of a reply that is not 200; older releases answer in HTML. */
static int print_gateway_error(const struct ctl *c, const struct reply *r,
			       const char *command)
{
	json_t *j = json_loadb(r->body.p ? r->body.p : "", r->body.n, 0, NULL);
	bool explained = json_object_get(j, "error") != NULL;
	int code = EXIT_REFUSED;

	json_decref(j);
	if (r->status == STATUS_NOT_FOUND && !explained)
		fprintf(stderr,
			"pimentoctl: %s does not know %s: it is no gateway, or "
			"one of an older release\n",
			c->gateway, command);
	else
		code = print_error_reply(r);
	return r->status == STATUS_BAD_REQUEST ? EXIT_INVALID : code;
}

/* Gets @target; prints it as JSON, or passes it to @print. An exit code. */
static int get_report(struct ctl *c, const char *command, const char *target,
		      void (*print)(const json_t *j))
{
	char *gateways[] = { c->gateway, NULL };
	struct ctl of_gateway = *c;
	int code = EXIT_OK;
	struct reply r;
	json_t *j;

	of_gateway.entries = gateways;
	if (ctl_get(&of_gateway, target, &r) < 0)
		return EXIT_UNKNOWN;
	j = json_loadb(r.body.p ? r.body.p : "", r.body.n, 0, NULL);
	if (r.status != STATUS_OK) {
		code = print_gateway_error(c, &r, command);
	} else if (!json_is_object(j)) {
		fprintf(stderr, "pimentoctl: %s: the reply is not JSON\n",
			c->gateway);
		code = EXIT_REFUSED;
	} else if (c->json) {
		printf("%s", r.body.p);
	} else {
		print(j);
	}
	json_decref(j);
	pf_text_free(&r.body);
	return code;
}

static double number(const json_t *j, const char *key)
{
	return json_number_value(json_object_get(j, key));
}

static const char *text(const json_t *j, const char *key)
{
	const char *s = json_string_value(json_object_get(j, key));

	return s ? s : "unknown";
}

static void print_limit(const json_t *a, double window_ms)
{
	const json_t *limit = json_object_get(a, "limit");

	if (!limit) {
		printf(" limit=none");
		return;
	}
	printf(" unit=%s rate_per_s=%g burst=%g", text(limit, "unit"),
	       number(limit, "rate_per_s"), number(limit, "burst"));
	if (!json_object_get(a, "mode")) {
		printf(" enforced=no");
		return;
	}
	printf(" window_s=%g used_here=%.0f", window_ms / 1000,
	       number(a, "used_here"));
	if (json_is_number(json_object_get(a, "left")))
		printf(" left=%.0f age_ms=%.0f", number(a, "left"),
		       number(a, "age_ms"));
	else
		printf(" left=unknown age_ms=unknown");
	printf(" home=%s mode=%s", text(a, "home"), text(a, "mode"));
}

static void print_accounts(const json_t *j)
{
	const json_t *list = json_object_get(j, "accounts");
	const char *outcome;
	const json_t *a;
	json_t *n;
	size_t i;

	json_array_foreach(list, i, a)
	{
		printf("account=%s", text(a, "name"));
		print_limit(a, number(j, "window_ms"));
		json_object_foreach(json_object_get(a, "requests"), outcome, n)
			printf(" %s=%lld", outcome,
			       (long long)json_integer_value(n));
		printf("\n");
	}
	if (json_array_size(list) == 0)
		printf("The gateway knows no client accounts.\n");
}

int cmd_accounts(struct ctl *c, char **args)
{
	(void)args;
	return get_report(c, "accounts", "/accounts", print_accounts);
}
