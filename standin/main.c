/* pimento-standin: one process plays the platform, an engine or a service. */
#include "standin/roles.h"

#include <event2/event.h>
#include <event2/thread.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VERSION "0.1"
#define EXIT_USAGE 2
#define GIB ((int64_t)1 << 30)

struct settings {
	char *role;
	char *listen;
	gboolean version;
	struct platform_opts platform;
	struct engine_opts engine;
	char *weights;
	char *crash_on;
	gboolean check_fence;
};

static void settings_default(struct settings *s)
{
	*s = (struct settings){
		.platform = { .writes = 400,
			      .reads = 2000,
			      .vm_lag_ms = 2000,
			      .loads_rate = 2,
			      .loads_at_once = 11,
			      .model_ms = 300,
			      .adapter_ms = 8,
			      .adapter_knee = 90 },
		.engine = { .memory = 16 * GIB,
			    .kv_bytes = 131072,
			    .batch = 16,
			    .step_ms = 5,
			    .step_run_ms = 0.2,
			    .prefill_ms = 0.05,
			    .prefixes = 256,
			    .lag_ms = 500,
			    .unload_ms = 20,
			    .load_ms = 50 },
	};
}

static int parse(struct settings *s, int argc, char **argv)
{
	struct platform_opts *p = &s->platform;
	struct engine_opts *e = &s->engine;
	const GOptionEntry entries[] = {
		{ "role", 'r', 0, G_OPTION_ARG_STRING, &s->role, "What to play",
		  "platform|engine|service" },
		{ "listen", 'l', 0, G_OPTION_ARG_STRING, &s->listen,
		  "Where to listen", "IP:PORT" },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &s->version,
		  "Print the version and exit", NULL },
		{ "writes", 0, 0, G_OPTION_ARG_INT, &p->writes,
		  "Table: rows written a second", "N" },
		{ "reads", 0, 0, G_OPTION_ARG_INT, &p->reads,
		  "Table: reads a second", "N" },
		{ "vm-lag", 0, 0, G_OPTION_ARG_INT, &p->vm_lag_ms,
		  "Lag of the VM list", "MS" },
		{ "loads-rate", 0, 0, G_OPTION_ARG_DOUBLE, &p->loads_rate,
		  "Weight store: model loads a second", "N" },
		{ "loads-at-once", 0, 0, G_OPTION_ARG_INT, &p->loads_at_once,
		  "Weight store: model loads in flight", "N" },
		{ "model-load", 0, 0, G_OPTION_ARG_INT, &p->model_ms,
		  "Weight store: time of a model load", "MS" },
		{ "adapter-load", 0, 0, G_OPTION_ARG_INT, &p->adapter_ms,
		  "Weight store: time of an adapter load", "MS" },
		{ "adapter-knee", 0, 0, G_OPTION_ARG_INT, &p->adapter_knee,
		  "Weight store: adapter loads before they slow", "N" },
		{ "memory", 0, 0, G_OPTION_ARG_INT64, &e->memory,
		  "Engine: accelerator memory", "BYTES" },
		{ "kv-bytes", 0, 0, G_OPTION_ARG_INT64, &e->kv_bytes,
		  "Engine: KV memory of a token", "BYTES" },
		{ "batch", 0, 0, G_OPTION_ARG_INT, &e->batch,
		  "Engine: runs at once", "N" },
		{ "step", 0, 0, G_OPTION_ARG_DOUBLE, &e->step_ms,
		  "Engine: time of a step", "MS" },
		{ "step-run", 0, 0, G_OPTION_ARG_DOUBLE, &e->step_run_ms,
		  "Engine: time added by each run", "MS" },
		{ "prefill", 0, 0, G_OPTION_ARG_DOUBLE, &e->prefill_ms,
		  "Engine: time per prompt token", "MS" },
		{ "prefixes", 0, 0, G_OPTION_ARG_INT, &e->prefixes,
		  "Engine: prompt prefixes cached", "N" },
		{ "lag", 0, 0, G_OPTION_ARG_INT, &e->lag_ms,
		  "Engine: age of the load report", "MS" },
		{ "unload", 0, 0, G_OPTION_ARG_INT, &e->unload_ms,
		  "Engine: time of an unload", "MS" },
		{ "load", 0, 0, G_OPTION_ARG_INT, &e->load_ms,
		  "Engine: time of a load without a weight store", "MS" },
		{ "weights", 0, 0, G_OPTION_ARG_STRING, &s->weights,
		  "Engine: the weight store", "IP:PORT" },
		{ "crash-on", 0, 0, G_OPTION_ARG_STRING, &s->crash_on,
		  "Engine: end when a prompt contains this", "TEXT" },
		{ "check-fence", 0, 0, G_OPTION_ARG_NONE, &s->check_fence,
		  "Engine: refuse orders with an old number", NULL },
		{ 0 },
	};
	GOptionContext *c = g_option_context_new("- stand-in for tests");
	GError *error = NULL;
	int rc = 0;

	g_option_context_add_main_entries(c, entries, NULL);
	if (!g_option_context_parse(c, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		rc = -1;
	}
	g_option_context_free(c);
	e->check_fence = s->check_fence;
	e->weights = s->weights;
	e->crash_on = s->crash_on;
	return rc;
}

static int play(struct server *s, const struct settings *o,
		void (**release)(void *))
{
	const char *role = o->role ? o->role : "";

	if (!strcmp(role, "platform")) {
		platform_new(s, &o->platform);
		*release = (void (*)(void *))platform_free;
	} else if (!strcmp(role, "engine")) {
		engine_new(s, &o->engine);
		*release = (void (*)(void *))engine_free;
	} else if (!strcmp(role, "service")) {
		service_new(s);
		*release = (void (*)(void *))service_free;
	} else {
		fprintf(stderr, "--role wants platform, engine or service\n");
		return -1;
	}
	return 0;
}

static void on_stop(evutil_socket_t fd, short what, void *base)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(base);
}

static int run(const struct settings *o)
{
	struct server s = { 0 };
	void (*release)(void *) = NULL;
	struct event *term;
	struct event *intr;
	int rc = EXIT_USAGE;

	signal(SIGPIPE, SIG_IGN);
	s.base = event_base_new();
	if (!s.base)
		return EXIT_FAILURE;
	term = evsignal_new(s.base, SIGTERM, on_stop, s.base);
	intr = evsignal_new(s.base, SIGINT, on_stop, s.base);
	evsignal_add(term, NULL);
	evsignal_add(intr, NULL);
	if (play(&s, o, &release) || server_start(&s, o->listen))
		goto out;
	event_base_dispatch(s.base);
	server_stop(&s);
	rc = EXIT_SUCCESS;
out:
	if (release)
		release(s.self);
	event_free(term);
	event_free(intr);
	event_base_free(s.base);
	return rc;
}

int main(int argc, char **argv)
{
	struct settings s;
	int rc;

	settings_default(&s);
	if (parse(&s, argc, argv))
		return EXIT_USAGE;
	if (s.version) {
		printf("pimento-standin " VERSION "\n");
		return EXIT_SUCCESS;
	}
	rc = run(&s);
	g_free(s.role);
	g_free(s.listen);
	g_free(s.weights);
	g_free(s.crash_on);
	return rc;
}
