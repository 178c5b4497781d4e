// Wire messages: round trips, release skew and malformed input.
#include "pimentoford/wire.h"

#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

namespace
{
std::string text(struct pf_str s)
{
	return std::string(s.p ? s.p : "", s.n);
}

struct Codec {
	struct pf_wire_buf buf = {};
	struct pf_wire_decoder *dec = pf_wire_decoder_new();
	struct pf_wire_msg out = {};

	~Codec()
	{
		pf_wire_buf_free(&buf);
		pf_wire_decoder_free(dec);
	}
	std::string encode(const struct pf_wire_msg &m, pf_ms now)
	{
		EXPECT_EQ(pf_wire_encode(&m, now, &buf), 0);
		return std::string(buf.p ? buf.p : "", buf.n);
	}
	enum pf_wire_result decode(uint32_t type, const std::string &body,
				   pf_ms now)
	{
		/* An exact-size copy, so that sanitizers see over-reads. */
		std::vector<char> exact(body.begin(), body.end());

		return pf_wire_decode(dec, type, { exact.data(), exact.size() },
				      now, &out);
	}
};

const uint32_t lens[] = { 2, 0, 3 };
static const struct pf_demand demands[] = { { 7, 1, 2 }, { 9, 0, 4 } };
const uint64_t placed[] = { 7, 8, 9 };
const struct pf_item items[] = { { 5, PF_ITEM_RESIDENT },
				 { 6, PF_ITEM_LOADING } };

struct pf_wire_msg sample(enum pf_wire_type type)
{
	struct pf_wire_msg m = {};

	m.type = type;
	switch (type) {
	case PF_WIRE_TRY:
		m.u.try_.id = { 11, 2 };
		m.u.try_.work.model = 77;
		m.u.try_.work.priority = 3;
		m.u.try_.work.arrived = 900;
		m.u.try_.work.first_token_objective = 1400;
		m.u.try_.work.answer_objective = PF_NEVER;
		m.u.try_.work.deadline = 950; /* in the past */
		m.u.try_.payload.method = PF_STR("POST");
		m.u.try_.payload.path = PF_STR("/a?b");
		m.u.try_.payload.body = PF_STR("body\0body");
		m.u.try_.payload.prior = PF_STR("prior");
		break;
	case PF_WIRE_PIECE:
		m.u.piece = { { 11, 2 }, 40, lens, 3, PF_STR("abcde") };
		break;
	case PF_WIRE_DONE:
		m.u.done = { { 11, 2 },     43,          true, true, 201,
			     PF_STR("a/b"), PF_STR("{}") };
		break;
	case PF_WIRE_NOT_RUN:
		m.u.not_run = { { 11, 2 }, PF_REASON_FULL, 250 };
		break;
	case PF_WIRE_LOST:
		m.u.lost = { { 11, 2 }, PF_REASON_CRASHED, 9 };
		break;
	case PF_WIRE_REPORT:
		m.u.report.agent = 4;
		m.u.report.seq = 1ull << 40;
		m.u.report.kv_free = -5;
		m.u.report.step_ms = 0.25;
		m.u.report.ready = true;
		m.u.report.items = items;
		m.u.report.n_items = 2;
		break;
	case PF_WIRE_QUARANTINE:
		m.u.quarantine = { 99, 1500 };
		break;
	case PF_WIRE_CONFIG:
		m.u.config = { 12, PF_STR("[deployment]"), 9, 1234567, 0, 0 };
		break;
	case PF_WIRE_CONFIG_HEAD:
		m.u.config = { 12, {}, 0, 0, 77, -1 };
		break;
	case PF_WIRE_CONFIG_PULL:
		m.u.config.revision = 12;
		break;
	case PF_WIRE_PLACE:
		m.u.place = { placed, 3 };
		break;
	case PF_WIRE_DEMAND:
		m.u.demand = { demands, 2 };
		break;
	default:
		m.u.id = { 11, 2 };
		break;
	}
	return m;
}

const enum pf_wire_type types[] = {
	PF_WIRE_TRY,         PF_WIRE_REVOKE,      PF_WIRE_CANCEL,
	PF_WIRE_STARTED,     PF_WIRE_PIECE,       PF_WIRE_DONE,
	PF_WIRE_NOT_RUN,     PF_WIRE_REVOKED,     PF_WIRE_LOST,
	PF_WIRE_REPORT,      PF_WIRE_LEAVING,     PF_WIRE_QUARANTINE,
	PF_WIRE_CONFIG_HEAD, PF_WIRE_CONFIG_PULL, PF_WIRE_CONFIG,
	PF_WIRE_PLACE,       PF_WIRE_DEMAND
};
} // namespace

/* Decoding and encoding again yields the same bytes. */
TEST(Wire, EveryTypeRoundTrips)
{
	for (enum pf_wire_type t : types) {
		Codec c;
		std::string body = c.encode(sample(t), 1000);

		ASSERT_EQ(c.decode(t, body, 1000), PF_WIRE_OK) << t;
		Codec again;
		struct pf_wire_msg copy = c.out;

		EXPECT_EQ(again.encode(copy, 1000), body) << t;
	}
}

/* A newer release appends fields, which an older one must ignore. */
TEST(Wire, IgnoresBytesAfterTheKnownFields)
{
	for (enum pf_wire_type t : types) {
		Codec c;
		std::string body = c.encode(sample(t), 1000);

		EXPECT_EQ(c.decode(t, body + std::string(8, 'x'), 1000),
			  PF_WIRE_OK)
			<< t;
	}
}

/* The encoder must size its buffer by the lists in the message. */
TEST(Wire, LongListsRoundTrip)
{
	std::vector<struct pf_item> many(7500, { 7, PF_ITEM_RESIDENT, 3 });
	std::vector<uint64_t> ids(5000, 9);
	struct pf_wire_msg m = sample(PF_WIRE_REPORT);
	Codec c;

	m.u.report.items = many.data();
	/* By the estimate, the buffer left by the first is just enough. */
	for (uint32_t n : { 5000u, 7500u }) {
		m.u.report.n_items = n;
		ASSERT_EQ(c.decode(PF_WIRE_REPORT, c.encode(m, 0), 0),
			  PF_WIRE_OK);
		EXPECT_EQ(c.out.u.report.n_items, n);
		EXPECT_EQ(c.out.u.report.items[n - 1].running, 3u);
	}
	m = sample(PF_WIRE_PLACE);
	m.u.place = { ids.data(), 5000 };
	ASSERT_EQ(c.decode(PF_WIRE_PLACE, c.encode(m, 0), 0), PF_WIRE_OK);
	EXPECT_EQ(c.out.u.place.n_items, 5000u);
	m = sample(PF_WIRE_DEMAND);
	ASSERT_EQ(c.decode(PF_WIRE_DEMAND, c.encode(m, 0), 0), PF_WIRE_OK);
	EXPECT_EQ(c.out.u.demand.v[1].open, m.u.demand.v[1].open);
}

TEST(Wire, ReportsUnknownTypes)
{
	Codec c;

	for (uint32_t t : { 0u, 18u, 1000u, ~0u })
		EXPECT_EQ(c.decode(t, "whatever", 0), PF_WIRE_UNKNOWN);
}

TEST(Wire, RejectsEveryTruncation)
{
	for (enum pf_wire_type t : types) {
		Codec c;
		std::string body = c.encode(sample(t), 1000);

		for (size_t n = 0; n < body.size(); n++)
			EXPECT_EQ(c.decode(t, body.substr(0, n), 1000),
				  PF_WIRE_BAD)
				<< t << " cut at " << n;
	}
}

/* Corrupt lengths must cause neither over-reads nor huge allocations. */
TEST(Wire, CorruptBytesNeverReadPastTheBody)
{
	for (enum pf_wire_type t : types) {
		Codec c;
		std::string body = c.encode(sample(t), 1000);

		for (size_t i = 0; i < body.size(); i++) {
			for (char x : { '\xff', '\x7f', '\x01' }) {
				std::string bad = body;

				bad[i] = x;
				c.decode(t, bad, 1000);
			}
		}
	}
}

TEST(Wire, RejectsPiecesWhoseLengthsDoNotSumToTheText)
{
	const uint32_t bad[][2] = { { 2, 2 }, { 6, 0 }, { ~0u, 6 } };

	for (auto &b : bad) {
		Codec c;
		struct pf_wire_msg m = sample(PF_WIRE_PIECE);

		m.u.piece.lens = b;
		m.u.piece.count = 2;
		EXPECT_EQ(c.decode(PF_WIRE_PIECE, c.encode(m, 0), 0),
			  PF_WIRE_BAD);
	}
	Codec c;
	struct pf_wire_msg m = sample(PF_WIRE_PIECE);

	m.u.piece.count = 0;
	m.u.piece.text = PF_STR("");
	EXPECT_EQ(c.decode(PF_WIRE_PIECE, c.encode(m, 0), 0), PF_WIRE_BAD);
}

/* Clocks of two VMs differ, so only durations are sent. */
TEST(Wire, TimesAreConvertedToTheReceiversClock)
{
	Codec c;
	std::string body = c.encode(sample(PF_WIRE_TRY), 1000);

	ASSERT_EQ(c.decode(PF_WIRE_TRY, body, 500000), PF_WIRE_OK);
	const struct pf_work &w = c.out.u.try_.work;

	EXPECT_EQ(w.arrived, 499900);
	EXPECT_EQ(w.first_token_objective, 500400);
	EXPECT_EQ(w.answer_objective, PF_NEVER);
	EXPECT_EQ(w.deadline, 500000);
	EXPECT_EQ(text(c.out.u.try_.payload.body),
		  std::string("body\0body", 9));
	EXPECT_EQ(text(c.out.u.try_.payload.prior), "prior");
}

TEST(Wire, UnknownReasonsBecomeBackendError)
{
	Codec c;
	struct pf_wire_msg m = sample(PF_WIRE_LOST);

	m.u.lost.reason = (enum pf_reason)200;
	ASSERT_EQ(c.decode(PF_WIRE_LOST, c.encode(m, 0), 0), PF_WIRE_OK);
	EXPECT_EQ(c.out.u.lost.reason, PF_REASON_BACKEND);
}
