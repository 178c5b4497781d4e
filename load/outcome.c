/* The result of one send of a request. */
#include "load/outcome.h"

#include <jansson.h>
#include <string.h>

/* Reads the text and finish reason of an event or a complete reply. */
static void read_choice(const json_t *j, struct outcome *o)
{
	const json_t *c = json_array_get(json_object_get(j, "choices"), 0);
	const json_t *text = json_object_get(c, "text");
	const char *finish =
		json_string_value(json_object_get(c, "finish_reason"));

	if (!text)
		text = json_object_get(json_object_get(c, "delta"), "content");
	if (!text)
		text = json_object_get(json_object_get(c, "message"),
				       "content");
	if (json_is_string(text))
		g_string_append(o->text, json_string_value(text));
	if (finish && !strcmp(finish, "stop"))
		o->finish = FINISH_STOP;
	else if (finish && !strcmp(finish, "length"))
		o->finish = FINISH_LENGTH;
}

static void read_error(const json_t *j, struct outcome *o)
{
	const json_t *e = json_object_get(j, "error");
	const char *code = json_string_value(json_object_get(e, "code"));
	const char *ran = json_string_value(json_object_get(e, "ran"));

	if (!e)
		return;
	o->error = true;
	o->not_run = ran && !strcmp(ran, "not_run");
	g_free(o->error_code);
	o->error_code = g_strdup(code ? code : "no_code");
}

static void read_object(const char *text, struct outcome *o)
{
	json_t *j = json_loads(text, 0, NULL);

	if (j) {
		read_choice(j, o);
		read_error(j, o);
	}
	json_decref(j);
}

static void read_events(const char *body, struct outcome *o)
{
	char **lines = g_strsplit(body, "\n", 0);

	for (char **l = lines; *l; l++)
		if (g_str_has_prefix(*l, "data: {"))
			read_object(*l + 6, o);
	g_strfreev(lines);
}

void outcome_read(struct outcome *o, bool model, bool stream, const char *body)
{
	if (model && stream && o->status == 200)
		read_events(body, o);
	else if (model || o->status >= 400)
		read_object(body, o);
	if (o->status >= 400 && !o->error) {
		o->error = true;
		o->error_code = g_strdup_printf("status_%d", o->status);
	}
}

void outcome_clear(struct outcome *o)
{
	g_string_free(o->text, TRUE);
	g_free(o->error_code);
}
