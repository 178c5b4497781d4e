/* pimento-load: open-loop load on the entries, with every answer verified. */
#include "load/load.h"
#include "load/path.h"

#include <event2/event.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define VERSION "0.1"
#define EXIT_VIOLATION 1
#define EXIT_USAGE 2
#define FINDINGS_SHOWN 200

struct settings {
	char *scenario;
	char *report;
	char *faults;
	gint64 seed;
	int seconds;
	int drain;
	gboolean version;
	struct path_options path;
};

struct arrivals {
	struct load *load;
	const struct caller *caller;
	struct event *next_timer;
	const bool *stopped;
};

struct load_run {
	struct load load;
	struct settings settings;
	GPtrArray *arrivals;
	struct event *second_timer; /* fires every second */
	int elapsed; /* seconds since the start */
	bool stopped; /* no new arrivals */
	bool audited; /* the audit was started */
};

static void schedule_arrival(struct arrivals *a)
{
	const struct caller *c = a->caller;
	double gap = -log(1 - pf_rng_unit(&a->load->rng)) * c->burst / c->rate;
	struct timeval tv = { (time_t)gap,
			      (suseconds_t)((gap - floor(gap)) * 1e6) };

	evtimer_add(a->next_timer, &tv);
}

/* The burst size is geometric with mean caller->burst. */
static void on_arrival(evutil_socket_t fd, short what, void *ctx)
{
	struct arrivals *a = ctx;

	(void)fd;
	(void)what;
	if (*a->stopped)
		return;
	do
		request_start(a->load, a->caller);
	while (pf_rng_unit(&a->load->rng) < 1 - 1 / a->caller->burst);
	schedule_arrival(a);
}

static void arrivals_free(void *p)
{
	struct arrivals *a = p;

	event_free(a->next_timer);
	g_free(a);
}

static void start_arrivals(struct load_run *r)
{
	const struct scenario *s = r->load.scenario;

	r->arrivals = g_ptr_array_new_with_free_func(arrivals_free);
	for (guint i = 0; i < s->callers->len; i++) {
		struct arrivals *a = g_new0(struct arrivals, 1);

		a->load = &r->load;
		a->caller = s->callers->pdata[i];
		a->stopped = &r->stopped;
		a->next_timer = evtimer_new(r->load.base, on_arrival, a);
		g_ptr_array_add(r->arrivals, a);
		if (a->caller->rate > 0)
			schedule_arrival(a);
	}
}

static void log_progress(const struct load_run *r)
{
	const struct counters *n = &r->load.count;

	fprintf(stderr,
		"level=info seconds=%d requests=%lu answered=%lu alive=%u"
		" refused=%lu cut=%lu failed=%lu\n",
		r->elapsed, n->requests, n->answered,
		g_hash_table_size(r->load.in_flight), n->refused, n->cut,
		n->failed);
}

static void on_second(evutil_socket_t fd, short what, void *ctx)
{
	struct load_run *r = ctx;

	(void)fd;
	(void)what;
	r->elapsed++;
	if (r->elapsed % 5 == 0)
		log_progress(r);
	if (r->elapsed >= r->settings.seconds)
		r->stopped = true;
	if (!r->stopped || r->audited)
		return;
	if (g_hash_table_size(r->load.in_flight) &&
	    r->elapsed < r->settings.seconds + r->settings.drain)
		return;
	r->audited = true;
	requests_count_unfinished(&r->load);
	audit_start(&r->load);
}

static void on_signal(evutil_socket_t fd, short what, void *ctx)
{
	struct load_run *r = ctx;

	(void)fd;
	(void)what;
	r->stopped = true;
	r->settings.seconds = r->elapsed;
}

static void key_record_free(void *p)
{
	g_free(((struct key_record *)p)->receipt);
	g_free(p);
}

static void cut_answer_clear(void *p)
{
	g_free(((struct cut_answer *)p)->request_name);
	g_free(((struct cut_answer *)p)->reason);
}

static void load_init(struct load *l, uint64_t seed)
{
	l->seed = seed;
	pf_rng_seed(&l->rng, seed);
	l->in_flight = g_hash_table_new(NULL, NULL);
	l->key_records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       key_record_free);
	l->not_run_prompts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, NULL);
	l->error_codes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l->first_ms = g_array_new(FALSE, FALSE, sizeof(double));
	l->whole_ms = g_array_new(FALSE, FALSE, sizeof(double));
	l->cut_answers = g_array_new(FALSE, FALSE, sizeof(struct cut_answer));
	g_array_set_clear_func(l->cut_answers, cut_answer_clear);
}

static void load_clear(struct load *l)
{
	g_hash_table_destroy(l->in_flight);
	g_hash_table_destroy(l->key_records);
	g_hash_table_destroy(l->not_run_prompts);
	g_hash_table_destroy(l->error_codes);
	g_array_free(l->first_ms, TRUE);
	g_array_free(l->whole_ms, TRUE);
	g_array_free(l->cut_answers, TRUE);
	scenario_free(l->scenario);
}

static int parse_options(struct settings *s, int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{ "scenario", 's', 0, G_OPTION_ARG_FILENAME, &s->scenario,
		  "Scenario to run", "FILE" },
		{ "seed", 0, 0, G_OPTION_ARG_INT64, &s->seed,
		  "Seed of the random numbers", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &s->seconds,
		  "Duration of the arrivals", "N" },
		{ "drain", 0, 0, G_OPTION_ARG_INT, &s->drain,
		  "Seconds to wait for the last answers", "N" },
		{ "report", 0, 0, G_OPTION_ARG_FILENAME, &s->report,
		  "Write a JSON report to FILE", "FILE" },
		{ "faults", 0, 0, G_OPTION_ARG_FILENAME, &s->faults,
		  "Log of injected faults, lines of MS-SINCE-EPOCH TARGET",
		  "FILE" },
		{ "path", 0, 0, G_OPTION_ARG_STRING, &s->path.entry,
		  "Measure the token path through this entry", "IP:PORT" },
		{ "path-engine", 0, 0, G_OPTION_ARG_STRING, &s->path.engine,
		  "Compare with this engine, called directly", "IP:PORT" },
		{ "path-key", 0, 0, G_OPTION_ARG_STRING, &s->path.key,
		  "API key of the caller", "KEY" },
		{ "path-model", 0, 0, G_OPTION_ARG_STRING, &s->path.model,
		  "Model to request", "NAME@VERSION" },
		{ "path-streams", 0, 0, G_OPTION_ARG_INT, &s->path.streams,
		  "Concurrent streams", "N" },
		{ "path-requests", 0, 0, G_OPTION_ARG_INT, &s->path.requests,
		  "Total requests to each target", "N" },
		{ "path-tokens", 0, 0, G_OPTION_ARG_INT, &s->path.tokens,
		  "Tokens per answer", "N" },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &s->version,
		  "Print the version and exit", NULL },
		{ 0 },
	};
	GOptionContext *c = g_option_context_new(
		"- load generator that verifies every answer");
	GError *error = NULL;
	int rc = 0;

	g_option_context_add_main_entries(c, entries, NULL);
	if (!g_option_context_parse(c, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		rc = -1;
	} else if (!s->version && !s->scenario && !s->path.entry) {
		fprintf(stderr, "--scenario is missing\n");
		rc = -1;
	} else if (s->path.entry && (!s->path.key || !s->path.model)) {
		fprintf(stderr,
			"--path requires --path-key and --path-model\n");
		rc = -1;
	}
	g_option_context_free(c);
	return rc;
}

static int read_scenario(struct load_run *r)
{
	struct pf_findings f = { 0 };

	r->load.scenario = scenario_read(r->settings.scenario, &f);
	for (size_t i = 0; i < f.n; i++)
		fprintf(stderr, "%s: %s\n", f.v[i].place, f.v[i].text);
	pf_findings_clear(&f);
	return r->load.scenario ? 0 : -1;
}

static int finish_run(struct load_run *r)
{
	const struct counters *n = &r->load.count;
	json_t *j;

	audit_cut_answers(&r->load, r->settings.faults);
	j = report_json(&r->load, r->elapsed);
	if (r->settings.report &&
	    json_dump_file(j, r->settings.report, JSON_INDENT(2)))
		fprintf(stderr, "cannot write %s\n", r->settings.report);
	json_decref(j);
	report_print(&r->load, "load");
	return n->incomplete || n->crossed || n->doubled ||
			       n->not_run_but_ran || n->cut_by_stop ||
			       n->unreadable || !n->answered
		       ? EXIT_VIOLATION
		       : EXIT_SUCCESS;
}

static int run_load(struct load_run *r)
{
	struct timeval second = { 1, 0 };
	struct event *term;
	struct event *intr;
	int rc;

	signal(SIGPIPE, SIG_IGN);
	r->load.base = event_base_new();
	term = evsignal_new(r->load.base, SIGTERM, on_signal, r);
	intr = evsignal_new(r->load.base, SIGINT, on_signal, r);
	r->second_timer = event_new(r->load.base, -1, EV_PERSIST, on_second, r);
	evsignal_add(term, NULL);
	evsignal_add(intr, NULL);
	event_add(r->second_timer, &second);
	start_arrivals(r);
	event_base_dispatch(r->load.base);
	rc = finish_run(r);
	g_ptr_array_free(r->arrivals, TRUE);
	event_free(r->second_timer);
	event_free(term);
	event_free(intr);
	event_base_free(r->load.base);
	return rc;
}

int main(int argc, char **argv)
{
	struct load_run r = { .settings = { .seed = 1,
					    .seconds = 10,
					    .drain = 60,
					    .path = { .streams = 1,
						      .requests = 1,
						      .tokens = 1 } } };
	int rc = EXIT_USAGE;

	if (parse_options(&r.settings, argc, argv))
		return EXIT_USAGE;
	if (r.settings.version) {
		printf("pimento-load " VERSION "\n");
		return EXIT_SUCCESS;
	}
	if (r.settings.path.entry) {
		rc = path_measure(&r.settings.path) ? EXIT_VIOLATION
						    : EXIT_SUCCESS;
	} else if (!read_scenario(&r)) {
		load_init(&r.load, (uint64_t)r.settings.seed);
		rc = run_load(&r);
		load_clear(&r.load);
	}
	g_free(r.settings.scenario);
	g_free(r.settings.report);
	g_free(r.settings.faults);
	g_free(r.settings.path.entry);
	g_free(r.settings.path.engine);
	g_free(r.settings.path.key);
	g_free(r.settings.path.model);
	return rc;
}
