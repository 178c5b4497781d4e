#include "pimentoford/stream_row.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace
{

TEST(StreamRow, KeepsWhatItHolds)
{
	auto in = std::make_unique<pf_stream_row>();
	auto out = std::make_unique<pf_stream_row>();
	struct pf_text t = {};

	in->written_at = 1788483467086;
	in->n_streams = PF_GATE_STORED_MAX;
	for (uint32_t i = 0; i < in->n_streams; i++)
		in->streams[i] = { UINT64_MAX - i, 3, UINT64_MAX, 700 };
	in->software[0] = { 3, UINT64_MAX, 0 };
	in->n_software = 1;
	pf_stream_row_encode(in.get(), &t);
	EXPECT_LT(t.n, 60000u);
	ASSERT_EQ(pf_stream_row_decode(pf_text_str(&t), in->written_at + 1500,
				       out.get()),
		  0);
	pf_text_free(&t);
	ASSERT_EQ(out->n_streams, in->n_streams);
	EXPECT_EQ(out->streams[7].id, UINT64_MAX - 7);
	EXPECT_EQ(out->streams[7].service, 3u);
	EXPECT_EQ(out->streams[7].software, UINT64_MAX);
	EXPECT_EQ(out->streams[7].age, 2200u);
	ASSERT_EQ(out->n_software, 1u);
	EXPECT_EQ(out->software[0].software, UINT64_MAX);
	EXPECT_EQ(out->software[0].age, 1500);
}

struct RowCase {
	const char *name;
	const char *text;
	int result;
	uint32_t streams;
};

struct StreamRowText : ::testing::TestWithParam<RowCase> {
};

TEST_P(StreamRowText, IsDecoded)
{
	auto out = std::make_unique<pf_stream_row>();

	EXPECT_EQ(pf_stream_row_decode(pf_str_c(GetParam().text), 5000,
				       out.get()),
		  GetParam().result);
	EXPECT_EQ(out->n_streams, GetParam().streams);
	for (uint32_t i = 0; i < out->n_streams; i++)
		EXPECT_GE(out->streams[i].age, 10u);
}

INSTANTIATE_TEST_SUITE_P(
	Texts, StreamRowText,
	::testing::Values(
		RowCase{ "Empty", "", -1, 0 },
		RowCase{ "NoTime", "stream 1 2 3 10\n", -1, 0 },
		RowCase{ "Stream", "at 4000\nstream 1 2 3 10\n", 0, 1 },
		RowCase{ "ClockWentBack", "at 9000\nstream 1 2 3 10\n", 0, 1 },
		RowCase{ "OtherKind", "at 4000\nfuture x\nstream 1 2 3 10\n", 0,
			 1 },
		RowCase{ "CutOff", "at 4000\nstream 1 2 3", -1, 0 },
		RowCase{ "FieldMissing", "at 4000\nstream 1 2 3\n", -1, 0 },
		RowCase{ "NotANumber", "at soon\n", -1, 0 }),
	[](const ::testing::TestParamInfo<RowCase> &i) {
		return std::string(i.param.name);
	});

} // namespace
