// Which gateways have duties beside their callers.
#include "pimentoford/gateway_id.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>

namespace
{

struct IdCase {
	const char *name;
	double faster, slower;
};

struct GatewayId : ::testing::TestWithParam<IdCase> {
};

// A gateway with 0.09 cores planned for 160 engines, and answered its callers a
// second late, while others with 0.5 cores were idle.
TEST_P(GatewayId, TheFasterOneIsLower)
{
	const IdCase &c = GetParam();

	EXPECT_LT(pf_gateway_id(c.faster, UINT64_MAX),
		  pf_gateway_id(c.slower, 0));
	EXPECT_NE(pf_gateway_id(c.faster, 0), 0u);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, GatewayId,
	::testing::Values(IdCase{ "Fractions", 0.5, 0.09 },
			  IdCase{ "Cores", 8, 4 }, IdCase{ "Unknown", 1e-6, 0 },
			  IdCase{ "NotANumber", 0.5, std::nan("") },
			  IdCase{ "Huge", 1e30, 64 }),
	[](const ::testing::TestParamInfo<IdCase> &i) {
		return std::string(i.param.name);
	});

TEST(GatewayIds, AmongEqualsTheRandomBitsDecide)
{
	EXPECT_LT(pf_gateway_id(0.5, 1), pf_gateway_id(0.5, 2));
	EXPECT_NE(pf_gateway_id(0, 1), pf_gateway_id(0, 2));
}

} // namespace
