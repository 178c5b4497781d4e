// Which gateways read the store.
#include "pimentoford/store_readers.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace
{

struct ReaderCase {
	const char *name;
	std::vector<pf_store_reader> others; /* of the gateway with id 10 */
	bool reads;
};

struct StoreReaders : ::testing::TestWithParam<ReaderCase> {
};

// With all readers rejected by the store, a configuration came into force more
// than 4 s after it was acknowledged.
TEST_P(StoreReaders, AreThoseWithTheLowestIdsThatTheStoreAnswers)
{
	const ReaderCase &c = GetParam();

	EXPECT_EQ(pf_is_store_reader(10, c.others.data(),
				     static_cast<uint32_t>(c.others.size())),
		  c.reads);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, StoreReaders,
	::testing::Values(
		ReaderCase{ "Alone", {}, true },
		ReaderCase{ "Third", { { 1, 0 }, { 2, 0 }, { 11, 0 } }, true },
		ReaderCase{ "Fourth",
			    { { 1, 0 },
			      { 2, 0 },
			      { 3, PF_STORE_AGE_FRESH_MS - 1 } },
			    false },
		ReaderCase{
			"OneRejected",
			{ { 1, 0 }, { 2, PF_STORE_AGE_FRESH_MS }, { 3, 100 } },
			true },
		ReaderCase{ "AllRejected",
			    { { 1, 9000 }, { 2, 9000 }, { 3, 9000 } },
			    true },
		ReaderCase{ "OthersTookOver",
			    { { 1, 9000 }, { 4, 0 }, { 5, 0 }, { 6, 0 } },
			    false }),
	[](const ::testing::TestParamInfo<ReaderCase> &i) {
		return std::string(i.param.name);
	});

} // namespace
