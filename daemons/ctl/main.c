/* pimentoctl: the operators' command line, a client of entries and gateways. */
#include "ctl.h"

#include "pimentoford/fields.h"
#include "pimentoford/process.h"

#include <glib.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHANGE_ID_BYTES 12
#define DEFAULT_TIMEOUT_S 25
#define DEFAULT_AUDIT_ROWS 20
#define ARGS_MAX 1024

struct command {
	const char *name;
	int args_min;
	int args_max;
	bool of_gateway; /* else of an entry */
	int (*run)(struct ctl *c, char **args);
	const char *usage;
};

static const struct command commands[] = {
	{ "apply", 1, ARGS_MAX, false, cmd_apply,
	  "apply FILE.toml...    apply the records of the files as one "
	  "change" },
	{ "delete", 2, 2, false, cmd_delete,
	  "delete KIND NAME      delete a record" },
	{ "get", 2, 2, false, cmd_get, "get KIND NAME         print a record" },
	{ "diff", 1, ARGS_MAX, false, cmd_diff,
	  "diff FILE.toml...     print what applying the files would change" },
	{ "list", 0, 1, false, cmd_list,
	  "list [KIND]           list the records" },
	{ "audit", 0, 0, false, cmd_audit,
	  "audit                 print the newest accepted changes" },
	{ "status", 0, 0, false, cmd_status,
	  "status                print the state of an entry and its agents" },
	{ "drain", 1, 1, false, cmd_drain,
	  "drain ENDPOINT        give an endpoint no new work (sets `drain` in "
	  "its record)" },
	{ "accounts", 0, 0, true, cmd_accounts,
	  "accounts              print the client accounts that a gateway "
	  "knows "
	  "(--gateway)" },
};

static char *description(void)
{
	GString *s = g_string_new("Commands:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		g_string_append_printf(s, "  %s\n", commands[i].usage);
	g_string_append(
		s, "\nKIND is deployment, model, adapter (MODEL:ADAPTER), "
		   "caller, endpoint or service.\n"
		   "\nExit status:\n"
		   "  0  done\n"
		   "  1  refused, in conflict with another change, or no such "
		   "record; not applied\n"
		   "  2  invalid usage or record files; nothing was sent\n"
		   "  3  no entry, gateway or table answered; unless \"not "
		   "applied\" "
		   "is printed, the change\n"
		   "     may be applied: send it again with the printed --id, "
		   "which is safe\n"
		   "\nThe deployment's key is read from --key-file or from the "
		   "environment variable\nPIMENTO_KEY.\n");
	return g_string_free(s, FALSE);
}

static char *make_change_id(void)
{
	unsigned char raw[CHANGE_ID_BYTES];
	struct pf_text t = { 0 };

	if (RAND_bytes(raw, sizeof(raw)) != 1)
		return NULL;
	pf_text_printf(&t, "ch-");
	for (size_t i = 0; i < sizeof(raw); i++)
		pf_text_printf(&t, "%02x", raw[i]);
	return pf_text_take(&t);
}

/* Reads the key from @file if given, else from the environment. 0 or -1. */
static int read_key(const char *file, char **key)
{
	const char *env = getenv("PIMENTO_KEY");
	gsize n;

	if (!file) {
		*key = env ? g_strdup(env) : NULL;
		return 0;
	}
	if (!g_file_get_contents(file, key, &n, NULL)) {
		fprintf(stderr, "pimentoctl: --key-file %s can't be read\n",
			file);
		return -1;
	}
	g_strchomp(*key);
	return 0;
}

/* Validates the options and sets the defaults of missing ones. 0 or -1. */
static int finish_options(struct ctl *c, const char *key_file)
{
	static char *default_entries[] = { "127.0.0.1:8080", NULL };

	if (c->gateway && !pf_addr_valid(pf_str_c(c->gateway))) {
		fprintf(stderr, "pimentoctl: --gateway %s is not IP:PORT\n",
			c->gateway);
		return -1;
	}
	if (c->gateway && c->entries) {
		fprintf(stderr,
			"pimentoctl: --gateway and --entry exclude each "
			"other\n");
		return -1;
	}
	if (!c->entries)
		c->entries = g_strdupv(default_entries);
	for (char **e = c->entries; *e; e++) {
		if (pf_addr_valid(pf_str_c(*e)))
			continue;
		fprintf(stderr, "pimentoctl: --entry %s is not IP:PORT\n", *e);
		return -1;
	}
	if (!c->who)
		c->who = g_strdup(g_get_user_name());
	c->id_given = c->change_id != NULL;
	if (!c->change_id)
		c->change_id = make_change_id();
	if (!c->change_id || !pf_name_valid(pf_str_c(c->change_id))) {
		fprintf(stderr, "pimentoctl: --id must be 1 to 64 characters: "
				"letters, digits, '.', '_' or '-'\n");
		return -1;
	}
	/* Gateways have no key to check; a metrics address must not get it. */
	return c->gateway ? 0 : read_key(key_file, &c->key);
}

static int run_command(struct ctl *c, char **args, int n)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const struct command *cmd = &commands[i];

		if (n < 1 || strcmp(cmd->name, args[0]) != 0)
			continue;
		if (cmd->of_gateway != (c->gateway != NULL)) {
			fprintf(stderr, "pimentoctl: %s %s --gateway\n",
				cmd->name,
				cmd->of_gateway ? "needs" : "does not take");
			return EXIT_INVALID;
		}
		if (n - 1 >= cmd->args_min && n - 1 <= cmd->args_max)
			return cmd->run(c, args + 1);
		fprintf(stderr, "pimentoctl: usage: %s\n", cmd->usage);
		return EXIT_INVALID;
	}
	fprintf(stderr, "pimentoctl: %s; see --help\n",
		n < 1 ? "no command" : "unknown command");
	return EXIT_INVALID;
}

int main(int argc, char **argv)
{
	struct ctl c = { .base_revision = -1,
			 .audit_limit = DEFAULT_AUDIT_ROWS };
	gboolean json = FALSE, version = FALSE;
	gint64 base = -1;
	gint timeout = DEFAULT_TIMEOUT_S;
	gchar *key_file = NULL;
	GOptionEntry opts[] = {
		{ "entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &c.entries,
		  "Address of an entry; repeat it to try several in order "
		  "[127.0.0.1:8080]",
		  "IP:PORT" },
		{ "gateway", 'g', 0, G_OPTION_ARG_STRING, &c.gateway,
		  "Metrics address of a gateway", "IP:PORT" },
		{ "key-file", 'k', 0, G_OPTION_ARG_FILENAME, &key_file,
		  "File with the deployment's key", "FILE" },
		{ "json", 'j', 0, G_OPTION_ARG_NONE, &json, "Print JSON",
		  NULL },
		{ "id", 0, 0, G_OPTION_ARG_STRING, &c.change_id,
		  "Id of the change; the same id again is a resend [random]",
		  "ID" },
		{ "who", 0, 0, G_OPTION_ARG_STRING, &c.who,
		  "Name recorded in the audit [user name]", "NAME" },
		{ "base", 0, 0, G_OPTION_ARG_INT64, &base,
		  "Refuse the change if a record changed after revision N",
		  "N" },
		{ "limit", 'n', 0, G_OPTION_ARG_INT, &c.audit_limit,
		  "Number of changes that audit prints [20]", "N" },
		{ "timeout", 0, 0, G_OPTION_ARG_INT, &timeout,
		  "Seconds to wait for each entry [25]", "N" },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &version,
		  "Print the version", NULL },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *ctx = g_option_context_new("COMMAND [ARGUMENTS]");
	GError *err = NULL;
	char *about = description();
	int code = EXIT_INVALID;

	g_option_context_add_main_entries(ctx, opts, NULL);
	g_option_context_set_description(ctx, about);
	if (!g_option_context_parse(ctx, &argc, &argv, &err)) {
		fprintf(stderr, "pimentoctl: %s\n", err->message);
		g_error_free(err);
	} else if (version) {
		printf("pimentoctl %s\n", PF_VERSION);
		code = EXIT_OK;
	} else {
		c.json = json;
		c.base_revision = base;
		c.timeout_s = timeout;
		if (finish_options(&c, key_file) == 0)
			code = run_command(&c, argv + 1, argc - 1);
	}
	g_option_context_free(ctx);
	g_strfreev(c.entries);
	g_free(c.gateway);
	g_free(about);
	g_free(key_file);
	free(c.change_id);
	g_free(c.who);
	g_free(c.key);
	return code;
}
