// C wrapper of toml++; catches its exceptions.
#include "pimentoford/toml.h"

#include <toml++/toml.h>

#include <cstdio>
#include <iterator>
#include <new>
#include <string>
#include <string_view>

struct pf_toml {
	toml::table root;
};

static const toml::node *to_node(const struct pf_toml_node *n)
{
	return reinterpret_cast<const toml::node *>(n);
}

static const struct pf_toml_node *from_node(const toml::node *n)
{
	return reinterpret_cast<const struct pf_toml_node *>(n);
}

static std::string_view view(struct pf_str s)
{
	return std::string_view(s.p ? s.p : "", s.n);
}

struct pf_toml *pf_toml_parse(struct pf_str text, const char *source,
			      struct pf_findings *f)
{
	char place[256];

	try {
		return new pf_toml{ toml::parse(view(text),
						std::string(source)) };
	} catch (const toml::parse_error &e) {
		std::snprintf(place, sizeof(place), "%s:%u", source,
			      (unsigned)e.source().begin.line);
		pf_findings_add(f, place, "is not TOML: %.*s",
				(int)e.description().size(),
				e.description().data());
	} catch (const std::exception &e) {
		pf_findings_add(f, source, "can't be read: %s", e.what());
	}
	return nullptr;
}

void pf_toml_free(struct pf_toml *t)
{
	delete t;
}

const struct pf_toml_node *pf_toml_root(const struct pf_toml *t)
{
	return from_node(&t->root);
}

enum pf_toml_type pf_toml_type(const struct pf_toml_node *n)
{
	switch (to_node(n)->type()) {
	case toml::node_type::table:
		return PF_TOML_TABLE;
	case toml::node_type::array:
		return PF_TOML_ARRAY;
	case toml::node_type::string:
		return PF_TOML_STRING;
	case toml::node_type::integer:
		return PF_TOML_INT;
	case toml::node_type::floating_point:
		return PF_TOML_REAL;
	case toml::node_type::boolean:
		return PF_TOML_BOOL;
	default:
		return PF_TOML_OTHER;
	}
}

uint32_t pf_toml_line(const struct pf_toml_node *n)
{
	return to_node(n)->source().begin.line;
}

size_t pf_toml_count(const struct pf_toml_node *n)
{
	if (const toml::table *t = to_node(n)->as_table())
		return t->size();
	if (const toml::array *a = to_node(n)->as_array())
		return a->size();
	return 0;
}

const struct pf_toml_node *pf_toml_at(const struct pf_toml_node *n, size_t i,
				      struct pf_str *key)
{
	if (i >= pf_toml_count(n))
		return nullptr;
	if (const toml::array *a = to_node(n)->as_array())
		return from_node(a->get(i));
	auto it = std::next(to_node(n)->as_table()->cbegin(), (ptrdiff_t)i);

	if (key) {
		std::string_view k = it->first.str();

		*key = { k.data(), k.size() };
	}
	return from_node(&it->second);
}

const struct pf_toml_node *pf_toml_get(const struct pf_toml_node *n,
				       struct pf_str key)
{
	const toml::table *t = to_node(n)->as_table();

	return t ? from_node(t->get(view(key))) : nullptr;
}

int pf_toml_str(const struct pf_toml_node *n, struct pf_str *out)
{
	const auto *v = to_node(n)->as_string();

	if (!v)
		return -1;
	*out = { v->get().data(), v->get().size() };
	return 0;
}

int pf_toml_int(const struct pf_toml_node *n, int64_t *out)
{
	const auto *v = to_node(n)->as_integer();

	if (!v)
		return -1;
	*out = v->get();
	return 0;
}

int pf_toml_real(const struct pf_toml_node *n, double *out)
{
	const auto *v = to_node(n)->as_floating_point();
	int64_t whole;

	if (v) {
		*out = v->get();
		return 0;
	}
	if (pf_toml_int(n, &whole) < 0)
		return -1;
	*out = (double)whole;
	return 0;
}

int pf_toml_bool(const struct pf_toml_node *n, bool *out)
{
	const auto *v = to_node(n)->as_boolean();

	if (!v)
		return -1;
	*out = v->get();
	return 0;
}
