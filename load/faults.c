/* The log of faults injected by a soak. */
#include "load/faults.h"

#include <string.h>

static void line_clear(void *p)
{
	g_free(((struct fault_record *)p)->target);
}

GArray *faults_parse(const char *text)
{
	GArray *faults = g_array_new(FALSE, FALSE, sizeof(struct fault_record));
	char **lines = g_strsplit(text, "\n", 0);

	g_array_set_clear_func(faults, line_clear);
	for (char **l = lines; *l; l++) {
		char *rest = NULL;
		struct fault_record f = { g_ascii_strtoll(*l, &rest, 10),
					  NULL };

		if (f.at_ms <= 0 || *rest != ' ')
			continue;
		f.target = g_strdup(rest + 1);
		g_array_append_val(faults, f);
	}
	g_strfreev(lines);
	return faults;
}

bool faults_explain(const GArray *faults, int64_t begin, int64_t end,
		    const char *entry)
{
	for (guint i = 0; i < faults->len; i++) {
		const struct fault_record *f =
			&g_array_index(faults, struct fault_record, i);

		if (f->at_ms > end || f->at_ms + FAULT_EFFECT_MS < begin)
			continue;
		if (!entry || !strcmp(f->target, entry))
			return true;
	}
	return false;
}
