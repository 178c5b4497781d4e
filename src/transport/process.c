/* Process setup shared by the daemons. */
#include "pimentoford/process.h"

#include <event2/event.h>
#include <glib.h>
#include <openssl/rand.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#define KEY_CHARS_MIN 16
/* Interval of checking the settings file for changes. */
#define SETTINGS_POLL_S 5

int pf_process_options(int argc, char **argv, const char *summary,
		       struct pf_process_options *o, int *status)
{
	g_autoptr(GOptionContext) ctx = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;
	g_autofree char *env = NULL;
	gboolean check = FALSE;
	gboolean version = FALSE;
	const GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &o->settings,
		  "Read the settings from this TOML file", "FILE" },
		{ "check", 'c', 0, G_OPTION_ARG_NONE, &check,
		  "Check the settings, print all findings, start nothing",
		  NULL },
		{ "settings-env", 0, 0, G_OPTION_ARG_STRING, &env,
		  "Read the settings from the file named by this variable",
		  "NAME" },
		{ "version", 'V', 0, G_OPTION_ARG_NONE, &version,
		  "Print the version", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};

	memset(o, 0, sizeof(*o));
	*status = PF_EXIT_SETTINGS;
	g_option_context_set_summary(ctx, summary);
	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return -1;
	}
	if (version) {
		printf("%s %s\n", g_get_prgname(), PF_VERSION);
		*status = 0;
		return -1;
	}
	if (!o->settings && env && getenv(env))
		o->settings = g_strdup(getenv(env));
	if (!o->settings) {
		fprintf(stderr, "--settings FILE is required\n");
		return -1;
	}
	o->check = check;
	return 0;
}

int pf_process_settings(const struct pf_form *form, const char *path, void *out,
			const struct pf_common_settings *common)
{
	struct pf_findings f = { 0 };
	int ret = pf_settings_load(form, path, out, &f);

	if (ret == 0 && common)
		ret = pf_common_settings_check(common, path, &f);
	pf_findings_print(&f, STDERR_FILENO);
	pf_findings_clear(&f);
	return ret;
}

char *pf_process_key(const struct pf_common_settings *p)
{
	char *text = NULL;
	gsize n = 0;
	char *key;

	if (p->key)
		return strdup(p->key);
	if (!p->key_file || !g_file_get_contents(p->key_file, &text, &n, NULL))
		return NULL;
	g_strstrip(text);
	key = strlen(text) >= KEY_CHARS_MIN ? strdup(text) : NULL;
	g_free(text);
	return key;
}

static uint64_t timeval_ms(struct timeval tv)
{
	return (uint64_t)tv.tv_sec * 1000 + (uint64_t)tv.tv_usec / 1000;
}

void pf_process_usage(struct pf_process_usage *u)
{
	struct rusage ru;
	long pages = 0;
	FILE *f;

	memset(u, 0, sizeof(*u));
	if (getrusage(RUSAGE_SELF, &ru) == 0)
		u->cpu_ms = timeval_ms(ru.ru_utime) + timeval_ms(ru.ru_stime);
	f = fopen("/proc/self/statm", "r");
	if (!f)
		return;
	if (fscanf(f, "%*s %ld", &pages) == 1)
		u->rss_kb = (uint64_t)pages * (uint64_t)sysconf(_SC_PAGESIZE) /
			    1024;
	fclose(f);
}

uint64_t pf_process_random(void)
{
	uint64_t v = 0;

	if (RAND_bytes((unsigned char *)&v, sizeof(v)) != 1)
		v = (uint64_t)getpid() << 32 ^ (uint64_t)g_get_real_time();
	return v ? v : 1;
}

struct stop_handler {
	void (*stop)(void *ctx);
	void *ctx;
};

static void on_signal(evutil_socket_t sig, short what, void *ctx)
{
	struct stop_handler *h = ctx;

	(void)sig;
	(void)what;
	h->stop(h->ctx);
}

int pf_process_signals(struct event_base *base, void (*stop)(void *ctx),
		       void *ctx)
{
	/* Lives as long as the process. */
	static struct stop_handler handler;
	static const int signals[] = { SIGTERM, SIGINT };
	size_t i;

	handler = (struct stop_handler){ stop, ctx };
	signal(SIGPIPE, SIG_IGN);
	/* Until pf_process_reload(); it ends a process by default. */
	signal(SIGHUP, SIG_IGN);
	for (i = 0; i < G_N_ELEMENTS(signals); i++) {
		struct event *ev =
			evsignal_new(base, signals[i], on_signal, &handler);

		if (!ev || event_add(ev, NULL) < 0)
			return -1;
	}
	return 0;
}

struct reload_handler {
	void (*reload)(void *ctx);
	void *ctx;
	const char *path;
	struct stat last_stat;
};

static void on_hangup(evutil_socket_t sig, short what, void *ctx)
{
	struct reload_handler *h = ctx;

	(void)sig;
	(void)what;
	if (stat(h->path, &h->last_stat) < 0)
		memset(&h->last_stat, 0, sizeof(h->last_stat));
	h->reload(h->ctx);
}

static void on_settings_poll(evutil_socket_t fd, short what, void *ctx)
{
	struct reload_handler *h = ctx;
	struct stat st;

	(void)fd;
	if (stat(h->path, &st) < 0)
		return; /* it may be in the middle of a replacement */
	if (st.st_mtim.tv_sec != h->last_stat.st_mtim.tv_sec ||
	    st.st_mtim.tv_nsec != h->last_stat.st_mtim.tv_nsec ||
	    st.st_size != h->last_stat.st_size ||
	    st.st_ino != h->last_stat.st_ino)
		on_hangup(-1, what, h);
}

int pf_process_reload(struct event_base *base, const char *path,
		      void (*reload)(void *ctx), void *ctx)
{
	/* Lives as long as the process. */
	static struct reload_handler handler;
	struct timeval interval = { SETTINGS_POLL_S, 0 };
	struct event *hup;
	struct event *poll;

	handler = (struct reload_handler){ reload, ctx, path, { 0 } };
	if (stat(path, &handler.last_stat) < 0)
		return -1;
	hup = evsignal_new(base, SIGHUP, on_hangup, &handler);
	poll = event_new(base, -1, EV_PERSIST, on_settings_poll, &handler);
	if (!hup || !poll || event_add(hup, NULL) < 0 ||
	    event_add(poll, &interval) < 0)
		return -1;
	return 0;
}
