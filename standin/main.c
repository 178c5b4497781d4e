/* pimento-standin: runs as the platform, an engine or a plain service. */
#include "standin/roles.h"

#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VERSION "0.1"
#define EXIT_USAGE 2

static int parse_options(struct options *s, int argc, char **argv)
{
	const GOptionEntry entries[] = {
#define DEF(field, type, kind, value, option, text, unit) \
	{ option, 0, 0, G_OPTION_ARG_##kind, &s->field, text, unit },
		STANDIN_OPTIONS(DEF)
#undef DEF
			{ 0 },
	};
	GOptionContext *c = g_option_context_new(
		"- test stand-in for a platform, engine or service");
	GError *error = NULL;
	int rc = 0;

	g_option_context_add_main_entries(c, entries, NULL);
	if (!g_option_context_parse(c, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		rc = -1;
	}
	g_option_context_free(c);
	return rc;
}

static void on_signal(evutil_socket_t fd, short what, void *base)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(base);
}

static int start_role(struct server *s, const struct options *o)
{
	const char *role = o->role ? o->role : "";

	if (!strcmp(role, "platform"))
		s->role = platform_new(s, o);
	else if (!strcmp(role, "engine"))
		s->role = engine_new(s, o);
	else if (!strcmp(role, "service"))
		s->role = service_new(s);
	else
		fprintf(stderr,
			"--role: expected platform, engine or service\n");
	return s->role && !server_start(s, o->listen) ? 0 : -1;
}

static void free_role(struct server *s, const struct options *o)
{
	if (!s->role)
		return;
	if (!strcmp(o->role, "platform"))
		platform_free(s->role);
	else if (!strcmp(o->role, "engine"))
		engine_free(s->role);
	else
		service_free(s->role);
}

static int serve(const struct options *o)
{
	struct server s = { .base = event_base_new() };
	struct event *term = evsignal_new(s.base, SIGTERM, on_signal, s.base);
	struct event *intr = evsignal_new(s.base, SIGINT, on_signal, s.base);
	int rc = EXIT_USAGE;

	signal(SIGPIPE, SIG_IGN);
	evsignal_add(term, NULL);
	evsignal_add(intr, NULL);
	if (!start_role(&s, o)) {
		event_base_dispatch(s.base);
		server_stop(&s);
		rc = EXIT_SUCCESS;
	}
	free_role(&s, o);
	event_free(term);
	event_free(intr);
	event_base_free(s.base);
	return rc;
}

int main(int argc, char **argv)
{
	struct options o = {
#define DEF(field, type, kind, value, option, text, unit) .field = (value),
		STANDIN_OPTIONS(DEF)
#undef DEF
	};
	int rc = EXIT_SUCCESS;

	if (parse_options(&o, argc, argv))
		return EXIT_USAGE;
	if (o.version)
		printf("pimento-standin " VERSION "\n");
	else
		rc = serve(&o);
	g_free(o.role);
	g_free(o.listen);
	g_free(o.weights);
	g_free(o.crash_on);
	return rc;
}
