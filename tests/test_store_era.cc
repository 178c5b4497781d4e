// The store client and the era that each answer states.
#include "pimentoford/store.h"
#include "tests/fake_http.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace
{

/* A store that answers the read of a row range with the era in `from`. */
struct StoreEra : ::testing::Test {
	struct event_base *base = event_base_new();
	std::unique_ptr<FakeServer> server;
	struct pf_store *store = nullptr;
	int log_fds[2];
	struct pf_log log = {};
	std::string restores;
	int status = 200;
	bool done = false;
	struct pf_store_answer got = {};

	StoreEra()
	{
		struct pf_store_opts o = {};

		server = std::make_unique<FakeServer>(
			"127.0.0.1", [this](int fd, const FakeRequest &r) {
				return Answer(fd, r);
			});
		EXPECT_EQ(pipe(log_fds), 0);
		log.fd = log_fds[1];
		log.task = "t";
		addr = server->addr();
		o.base = base;
		o.addr = addr.c_str();
		o.calls_max = 4;
		o.timeout = 10000;
		o.body_max = 1 << 20;
		o.log = &log;
		o.on_restore = [](void *ctx, int64_t from, int64_t to) {
			static_cast<StoreEra *>(ctx)->restores +=
				std::to_string(from) + ">" +
				std::to_string(to) + " ";
		};
		o.ctx = this;
		store = pf_store_new(&o);
	}
	~StoreEra() override
	{
		pf_store_free(store);
		event_base_free(base);
		close(log_fds[0]);
		close(log_fds[1]);
	}
	bool Answer(int fd, const FakeRequest &r)
	{
		size_t at = r.target.find("&from=");
		std::string era =
			at == std::string::npos ? "" : r.target.substr(at + 6);
		std::string body = "{\"rows\":[{\"table\":\"t\",\"part\":\"\","
				   "\"key\":\"k\",\"value\":\"eA==\",\"ver\":3}"
				   "],\"has_more\":false,\"ver\":9}";

		era = era.substr(0, era.find('&'));
		FakeSend(fd,
			 "HTTP/1.1 " + std::to_string(status) + " x\r\n" +
				 (era.empty() ? ""
					      : "Store-Era: " + era + "\r\n") +
				 "Content-Length: " +
				 std::to_string(body.size()) + "\r\n\r\n" +
				 body);
		return true;
	}
	static void OnAnswer(void *ctx, const struct pf_store_answer *a)
	{
		StoreEra *t = static_cast<StoreEra *>(ctx);

		t->got = *a;
		t->done = true;
	}
	/* Starts a call whose answer states @era; returns at once. */
	void Start(const std::string &era)
	{
		done = false;
		ASSERT_EQ(pf_store_read(store, { "t", 1 }, { "", 0 },
					{ era.data(), era.size() }, { "", 0 },
					10, OnAnswer, this),
			  0);
	}
	const struct pf_store_answer &Read(const std::string &era)
	{
		Start(era);
		while (!done)
			event_base_loop(base, EVLOOP_ONCE);
		return got;
	}
	std::string Log()
	{
		char buf[16384];
		ssize_t n;

		EXPECT_EQ(write(log_fds[1], "end", 3), 3);
		n = read(log_fds[0], buf, sizeof(buf));
		return std::string(buf, n > 0 ? (size_t)n : 0);
	}
	static size_t Count(const std::string &s, const std::string &part)
	{
		size_t n = 0;

		for (size_t at = s.find(part); at != std::string::npos;
		     at = s.find(part, at + 1))
			n++;
		return n;
	}

      private:
	std::string addr;
};

TEST_F(StoreEra, IsInEachAnswer)
{
	EXPECT_EQ(Read("4").era, 4);
	EXPECT_EQ(got.status, PF_STORE_OK);
	status = 412;
	EXPECT_EQ(Read("4").era, 4);
	EXPECT_EQ(got.status, PF_STORE_CONFLICT);
	status = 503;
	EXPECT_EQ(Read("4").era, 4);
	EXPECT_EQ(got.status, PF_STORE_REFUSED);
	status = 410;
	EXPECT_EQ(Read("4").era, 4);
	EXPECT_EQ(got.status, PF_STORE_TRIMMED);
	EXPECT_EQ(restores, "");
}

TEST_F(StoreEra, AMissingOneIsUnknown)
{
	EXPECT_EQ(Read("").era, PF_ERA_UNKNOWN);
	EXPECT_EQ(got.status, PF_STORE_OK);
	Read("4");
	EXPECT_EQ(Read("").era, PF_ERA_UNKNOWN);
	EXPECT_EQ(got.status, PF_STORE_OK);
	EXPECT_EQ(pf_store_eras(store)->newest, 4);
	EXPECT_EQ(pf_store_bad_eras(store), 0u);
	EXPECT_EQ(restores, "");
	EXPECT_EQ(Log(), "end");
}

TEST_F(StoreEra, ARiseIsReportedOnceAndLogged)
{
	Read("4");
	EXPECT_EQ(Read("5").status, PF_STORE_OK);
	Read("5");
	EXPECT_EQ(restores, "4>5 ");
	std::string log = Log();
	EXPECT_EQ(Count(log, "event=store_era old=4 new=5"), 1u) << log;
}

TEST_F(StoreEra, ARefusalShowsARiseToo)
{
	Read("4");
	status = 503;
	Read("5");
	EXPECT_EQ(restores, "4>5 ");
}

TEST_F(StoreEra, AnOlderAnswerIsInDoubt)
{
	Read("4");
	Read("5");
	EXPECT_EQ(Read("4").status, PF_STORE_UNKNOWN);
	EXPECT_EQ(got.n, 0u);
	status = 412;
	EXPECT_EQ(Read("4").status, PF_STORE_UNKNOWN);
	status = 410;
	EXPECT_EQ(Read("4").status, PF_STORE_UNKNOWN);
	status = 503;
	EXPECT_EQ(Read("4").status, PF_STORE_REFUSED);
	EXPECT_EQ(restores, "4>5 ");
	std::string log = Log();
	EXPECT_EQ(Count(log, "event=store_era_fell old=5 new=4"), 1u) << log;
}

TEST_F(StoreEra, AGarbledOneIsAFinding)
{
	Read("4");
	for (int i = 0; i < 30; i++) {
		EXPECT_EQ(Read(i % 2 ? "four" : std::string(2000, 'x')).status,
			  PF_STORE_OK);
		EXPECT_EQ(got.era, PF_ERA_UNKNOWN);
	}
	EXPECT_EQ(pf_store_bad_eras(store), 30u);
	EXPECT_EQ(pf_store_eras(store)->newest, 4);
	EXPECT_EQ(restores, "");
	std::string log = Log();
	EXPECT_EQ(Count(log, "event=store_era_unreadable"), 1u) << log;
	EXPECT_LT(log.size(), 400u);
}

} // namespace
