/* The log of faults that a soak did. */
#include "load/faults.h"

#include <string.h>

static void line_clear(void *p)
{
	g_free(((struct fault_line *)p)->target);
}

GArray *faults_parse(const char *text)
{
	GArray *faults = g_array_new(FALSE, FALSE, sizeof(struct fault_line));
	char **lines = g_strsplit(text, "\n", 0);

	g_array_set_clear_func(faults, line_clear);
	for (char **l = lines; *l; l++) {
		char *rest = NULL;
		struct fault_line f = { g_ascii_strtoll(*l, &rest, 10), NULL };

		if (f.at <= 0 || *rest != ' ')
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
		const struct fault_line *f =
			&g_array_index(faults, struct fault_line, i);

		if (f->at > end || f->at + FAULT_REACH_MS < begin)
			continue;
		if (!entry || !strcmp(f->target, entry))
			return true;
	}
	return false;
}
