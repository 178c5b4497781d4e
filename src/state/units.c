/* Parsing of sizes and durations, validation of addresses and names. */
#include "pimentoford/fields.h"

#include <glib.h>
#include <math.h>
#include <string.h>

struct unit {
	const char *name;
	double factor;
};

static const struct unit size_units[] = {
	{ "B", 1 },
	{ "KiB", 1024.0 },
	{ "MiB", 1048576.0 },
	{ "GiB", 1073741824.0 },
	{ "TiB", 1099511627776.0 },
	{ "kB", 1e3 },
	{ "MB", 1e6 },
	{ "GB", 1e9 },
	{ "TB", 1e12 },
};

static const struct unit duration_units[] = {
	{ "ms", 1 },    { "s", 1e3 },    { "m", 6e4 },
	{ "h", 3.6e6 }, { "d", 8.64e7 },
};

/* Below 2^53, so that a double holds every integer up to it exactly. */
#define QUANTITY_MAX 9e15

/*
 * Parses "NUMBERUNIT"; the result, in the smallest unit, must be an integer.
 * 0 or -1.
 */
static int parse_quantity(struct pf_str s, const struct unit *u, size_t n,
			  int64_t *out)
{
	char buf[40], *end;
	double v;

	if (!s.n || s.n >= sizeof(buf) || !g_ascii_isdigit(s.p[0]))
		return -1;
	memcpy(buf, s.p, s.n);
	buf[s.n] = '\0';
	if (strspn(buf, "0123456789.") == 0 || strchr(buf, 'x'))
		return -1;
	v = g_ascii_strtod(buf, &end);
	for (size_t i = 0; i < n; i++) {
		if (strcmp(end, u[i].name) != 0)
			continue;
		v *= u[i].factor;
		if (!(v < QUANTITY_MAX) || fabs(v - round(v)) > 1e-6)
			return -1;
		*out = (int64_t)round(v);
		return 0;
	}
	return -1;
}

int pf_size_parse(struct pf_str s, int64_t *bytes)
{
	return parse_quantity(s, size_units, G_N_ELEMENTS(size_units), bytes);
}

int pf_duration_parse(struct pf_str s, pf_ms *ms)
{
	return parse_quantity(s, duration_units, G_N_ELEMENTS(duration_units),
			      ms);
}

static bool port_valid(const char *p)
{
	guint64 port;

	return g_ascii_string_to_unsigned(p, 10, 1, 65535, &port, NULL);
}

bool pf_addr_valid(struct pf_str s)
{
	char buf[64], *host = buf, *colon;
	size_t n;

	if (!s.n || s.n >= sizeof(buf) || memchr(s.p, '\0', s.n))
		return false;
	memcpy(buf, s.p, s.n);
	buf[s.n] = '\0';
	colon = strrchr(buf, ':');
	if (!colon || !port_valid(colon + 1))
		return false;
	*colon = '\0';
	n = strlen(host);
	if (strchr(host, ':')) {
		if (n < 2 || host[0] != '[' || host[n - 1] != ']')
			return false;
		host[n - 1] = '\0';
		host++;
	}
	return g_hostname_is_ip_address(host);
}

bool pf_name_valid(struct pf_str s)
{
	if (!s.n || s.n > PF_NAME_MAX || !g_ascii_isalnum(s.p[0]))
		return false;
	for (size_t i = 0; i < s.n; i++)
		if (!g_ascii_isalnum(s.p[i]) && !strchr("._-", s.p[i]))
			return false;
	return true;
}
