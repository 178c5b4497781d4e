// Eras of the store: order of versions, answers that overtake each other, and
// errors in the era itself.
#include "pimentoford/era.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

struct EraText {
	const char *name;
	std::string text;
	int64_t era;
};

struct EraParse : ::testing::TestWithParam<EraText> {
};

TEST_P(EraParse, MalformedTextIsUnknown)
{
	const std::string &s = GetParam().text;

	EXPECT_EQ(pf_era_parse({ s.data(), s.size() }), GetParam().era);
}

INSTANTIATE_TEST_SUITE_P(
	Texts, EraParse,
	::testing::Values(
		EraText{ "zero", "0", 0 }, EraText{ "number", "42", 42 },
		EraText{ "leading_zeros", "007", 7 },
		EraText{ "longest", "999999999999999999", 999999999999999999 },
		EraText{ "missing", "", PF_ERA_UNKNOWN },
		EraText{ "word", "two", PF_ERA_UNKNOWN },
		EraText{ "negative", "-1", PF_ERA_UNKNOWN },
		EraText{ "sign", "+1", PF_ERA_UNKNOWN },
		EraText{ "fraction", "1.5", PF_ERA_UNKNOWN },
		EraText{ "spaces", " 1", PF_ERA_UNKNOWN },
		EraText{ "suffix", "1x", PF_ERA_UNKNOWN },
		EraText{ "zero_byte", std::string("1\0", 2), PF_ERA_UNKNOWN },
		EraText{ "overflow", "9223372036854775808", PF_ERA_UNKNOWN },
		EraText{ "very_long", std::string(4000, '9'), PF_ERA_UNKNOWN }),
	[](const auto &i) { return std::string(i.param.name); });

struct VersionPair {
	const char *name;
	struct pf_version a, b;
	bool newer;
};

struct VersionOrder : ::testing::TestWithParam<VersionPair> {
};

TEST_P(VersionOrder, RevisionsCompareWithinAnEraOnly)
{
	EXPECT_EQ(pf_version_newer(GetParam().a, GetParam().b),
		  GetParam().newer);
}

INSTANTIATE_TEST_SUITE_P(
	Pairs, VersionOrder,
	::testing::Values(
		VersionPair{ "later", { 3, 11 }, { 3, 10 }, true },
		VersionPair{ "same", { 3, 10 }, { 3, 10 }, false },
		VersionPair{ "earlier", { 3, 9 }, { 3, 10 }, false },
		VersionPair{
			"reused_after_a_restore", { 4, 9 }, { 3, 10 }, true },
		VersionPair{ "of_the_lost_copy", { 3, 99 }, { 4, 10 }, false },
		VersionPair{
			"unknown", { PF_ERA_UNKNOWN, 99 }, { 0, 1 }, false }),
	[](const auto &i) { return std::string(i.param.name); });

struct Eras : ::testing::Test {
	struct pf_eras e;

	Eras()
	{
		pf_eras_init(&e);
	}
	enum pf_era_change Note(int64_t sent_in, int64_t era)
	{
		return pf_eras_note(&e, sent_in, era);
	}
};

TEST_F(Eras, TheFirstEraIsNoRestore)
{
	EXPECT_EQ(Note(PF_ERA_UNKNOWN, 5), PF_ERA_SAME);
	EXPECT_EQ(Note(PF_ERA_UNKNOWN, 5), PF_ERA_SAME);
	EXPECT_EQ(e.newest, 5);
	EXPECT_EQ(e.n_restores, 0u);
}

TEST_F(Eras, ARiseIsOneRestoreWhateverTheStep)
{
	Note(PF_ERA_UNKNOWN, 0);
	EXPECT_EQ(Note(0, 1), PF_ERA_RESTORED);
	EXPECT_EQ(Note(0, 1), PF_ERA_SAME);
	EXPECT_EQ(Note(1, 4), PF_ERA_RESTORED);
	EXPECT_EQ(e.n_restores, 2u);
}

TEST_F(Eras, AnOvertakenAnswerIsNoFall)
{
	Note(PF_ERA_UNKNOWN, 1);
	Note(1, 2);
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(Note(1, 1), PF_ERA_OVERTAKEN);
	EXPECT_EQ(e.newest, 2);
	EXPECT_EQ(e.n_falls, 0u);
}

TEST_F(Eras, AnAnswerBeforeTheFirstKnownEraIsNoFall)
{
	Note(PF_ERA_UNKNOWN, 2);
	EXPECT_EQ(Note(PF_ERA_UNKNOWN, 1), PF_ERA_OVERTAKEN);
}

TEST_F(Eras, AnUnknownEraChangesNothing)
{
	Note(PF_ERA_UNKNOWN, 3);
	EXPECT_EQ(Note(3, PF_ERA_UNKNOWN), PF_ERA_SAME);
	EXPECT_EQ(e.newest, 3);
}

TEST_F(Eras, OneWrongHighEraDoesNotLastForever)
{
	Note(PF_ERA_UNKNOWN, 7);
	EXPECT_EQ(Note(7, 71), PF_ERA_RESTORED);
	int n = 0;
	while (Note(71, 7) == PF_ERA_FELL && n < 100)
		n++;
	EXPECT_EQ(n, 7);
	EXPECT_EQ(e.newest, 7);
	EXPECT_EQ(e.n_restores, 2u);
	EXPECT_EQ(Note(7, 8), PF_ERA_RESTORED);
}

TEST_F(Eras, OldAnswersBetweenNewOnesNeverTakeOver)
{
	Note(PF_ERA_UNKNOWN, 1);
	Note(1, 2);
	for (int i = 0; i < 100; i++) {
		EXPECT_EQ(Note(2, 1), PF_ERA_FELL);
		EXPECT_EQ(Note(2, 2), PF_ERA_SAME);
	}
	EXPECT_EQ(e.newest, 2);
	EXPECT_EQ(e.n_falls, 100u);
}

} // namespace
