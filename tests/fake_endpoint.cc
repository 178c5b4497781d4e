#include "tests/fake_endpoint.h"

#include <sys/socket.h>

#include <cstdlib>

static const unsigned LATE_MS = 300;

static void SleepMs(unsigned ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string FakeEndpoint::Body(const std::string &id)
{
	return "mine " + id + " " + std::string(200, 'x') + " end";
}

std::string FakeEndpoint::Event(int k, const std::string &id)
{
	return "id: " + std::to_string(k) + "\ndata: e" + std::to_string(k) +
	       " " + id + "\n\n";
}

FakeEndpoint::FakeEndpoint(const Options &o) : opts_(o)
{
	models_["m"] = {};
	server_ = std::make_unique<FakeServer>(
		opts_.ip.c_str(),
		[this](int fd, const FakeRequest &r) { return Handle(fd, r); });
	WriteRow();
}

FakeEndpoint::~FakeEndpoint()
{
	{
		Lock g(mu_);

		stop_ = true;
		cv_.notify_all();
	}
	for (std::thread &t : restarts_)
		t.join();
	server_.reset();
}

std::string FakeEndpoint::addr() const
{
	return server_->addr();
}

const std::string &FakeEndpoint::id() const
{
	return opts_.id;
}

uint64_t FakeEndpoint::incarnation()
{
	Lock g(mu_);

	return incarnation_;
}

FakeEndpoint::Run FakeEndpoint::RunOf(const std::string &id)
{
	Lock g(mu_);
	auto it = runs_.find(id);

	return it == runs_.end() ? Run() : it->second;
}

int FakeEndpoint::OverloadCount()
{
	Lock g(mu_);

	return overloads_;
}

size_t FakeEndpoint::CrashCount()
{
	Lock g(mu_);

	return crashes_;
}

size_t FakeEndpoint::OrderCount()
{
	Lock g(mu_);

	return orders_;
}

void FakeEndpoint::Silence(unsigned ms)
{
	Lock g(mu_);
	auto until = Clock::now() + std::chrono::milliseconds(ms);

	if (until > silent_until_)
		silent_until_ = until;
}

void FakeEndpoint::Hang()
{
	Lock g(mu_);

	silent_until_ = Clock::time_point::max();
}

bool FakeEndpoint::WasSilentSince(Clock::time_point at)
{
	Lock g(mu_);

	return silent_until_ > at;
}

void FakeEndpoint::Crash()
{
	{
		Lock g(mu_);

		down_ = true;
		crashes_++;
		incarnation_++;
		silent_until_ = Clock::time_point();
		refuse_until_ = Clock::time_point();
		leaving_ = false;
		draining_ = false;
		limit_ = -1;
		orders_ = 0;
		models_.clear();
		cv_.notify_all();
	}
	server_->ResetConnections();
}

void FakeEndpoint::ComeBack()
{
	{
		Lock g(mu_);

		down_ = false;
	}
	WriteRow();
}

void FakeEndpoint::Restart()
{
	Crash();
	ComeBack();
}

void FakeEndpoint::Leave(bool drain)
{
	{
		Lock g(mu_);

		leaving_ = true;
		draining_ |= drain;
	}
	if (drain)
		WriteRow();
}

void FakeEndpoint::Refuse(double retry_after_s, unsigned ms)
{
	Lock g(mu_);

	retry_after_ = retry_after_s;
	refuse_until_ = Clock::now() + std::chrono::milliseconds(ms);
}

void FakeEndpoint::NameLimit(double per_s)
{
	Lock g(mu_);

	limit_ = per_s;
}

std::string FakeEndpoint::State() const
{
	return draining_ ? "draining" : "ready";
}

std::string FakeEndpoint::ModelsJson() const
{
	std::string out;

	for (auto &[model, adapters] : models_) {
		std::string list;

		for (const std::string &a : adapters)
			list += (list.empty() ? "\"" : ",\"") + a + "\"";
		out += (out.empty() ? "" : ",") + std::string("{\"name\":\"") +
		       model + "\",\"version\":1,\"adapters\":[" + list + "]}";
	}
	return "[" + out + "]";
}

void FakeEndpoint::WriteRow(const std::string &state)
{
	std::string row;
	{
		Lock g(mu_);

		row = "{\"service\":\"" + opts_.service + "\",\"address\":\"" +
		      addr() + "\",\"zone\":\"za\",\"version\":\"" +
		      opts_.version + "\",\"slots\":8,\"state\":\"" +
		      (state.empty() ? State() : state) +
		      "\",\"cold_left_ms\":0,\"born\":" +
		      std::to_string(incarnation_) +
		      ",\"models\":" + ModelsJson() + ",\"seq\":1}";
	}
	if (opts_.store)
		opts_.store->Put("servers", opts_.id, row);
}

void FakeEndpoint::DeleteRow()
{
	if (opts_.store)
		opts_.store->Put("servers", opts_.id, "", true);
}

/* Returns false if the incarnation ended. */
bool FakeEndpoint::WaitWhileSilent(const Exchange &x)
{
	Lock g(mu_);

	for (;;) {
		if (stop_ || incarnation_ != x.incarnation || down_)
			return false;
		if (Clock::now() >= silent_until_)
			return true;
		cv_.wait_for(g, std::chrono::milliseconds(5));
	}
}

/* Sends two parts, so that a silence may begin within. */
bool FakeEndpoint::Send(const Exchange &x, const std::string &bytes)
{
	size_t half = bytes.size() / 2;
	char c;

	if (!WaitWhileSilent(x))
		return false;
	FakeSend(x.fd, bytes.substr(0, half));
	SleepMs(opts_.gap_ms / 2);
	if (!WaitWhileSilent(x))
		return false;
	FakeSend(x.fd, bytes.substr(half));
	/* False once the peer has closed. */
	return recv(x.fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
}

/* The head's own lines. */
std::string FakeEndpoint::AnswerHead(const Exchange &x, double retry_after)
{
	Answered a = { x.id, retry_after, false };
	std::string head = "Attempt-Id: " + x.id + "\r\n";
	char value[32];

	double limit;

	{
		Lock g(mu_);

		a.leaving = leaving_;
		limit = limit_;
	}
	if (limit >= 0) {
		snprintf(value, sizeof(value), "%.10g", limit);
		head += std::string("Server-Limit: ") + value + "\r\n";
	}
	if (a.leaving)
		head += "Server-Leaving: 1\r\n";
	if (retry_after >= 0) {
		snprintf(value, sizeof(value), "%g", retry_after);
		head += std::string("Retry-After: ") + value + "\r\n";
	}
	if (opts_.on_answer)
		opts_.on_answer(*this, a);
	return head;
}

void FakeEndpoint::StartRun(const std::string &id)
{
	Lock g(mu_);

	runs_[id].count++;
}

void FakeEndpoint::AddSent(const std::string &id, size_t bytes, bool complete)
{
	Lock g(mu_);

	runs_[id].bytes += bytes;
	runs_[id].complete |= complete;
}

bool FakeEndpoint::HoldsModel(const std::string &name)
{
	size_t slash = name.find('/');
	Lock g(mu_);
	auto it = models_.find(name.substr(0, slash));

	if (name.empty())
		return true;
	return it != models_.end() &&
	       (slash == std::string::npos ||
		it->second.count(name.substr(slash + 1)));
}

bool FakeEndpoint::SendRefusal(const Exchange &x, int status,
			       double retry_after)
{
	return Send(x,
		    HttpAnswer(status, "",
			       AnswerHead(x, retry_after) + "Not-Run: 1\r\n"));
}

bool FakeEndpoint::Handle(int fd, const FakeRequest &r)
{
	Exchange x = { fd, r.Header("Attempt-Id"), incarnation() };
	bool keep = WaitWhileSilent(x);

	if (!keep) {
		FakeReset(fd);
		return false;
	}
	if (r.target == "/report")
		keep = SendReport(x);
	else if (r.target == "/order")
		keep = TakeOrder(x, r);
	else
		keep = ServeRequest(x, r);
	if (!keep && incarnation() != x.incarnation)
		FakeReset(fd);
	return keep && r.Header("Connection") != "close";
}

bool FakeEndpoint::ServeRequest(const Exchange &x, const FakeRequest &r)
{
	std::string expected = r.Header("Expect-Instance");
	bool stream = r.target[1] == 't' || r.target[1] == 'r';
	double retry_after = -1;
	Fault f = NO_FAULT;

	if (opts_.on_request)
		opts_.on_request(*this, r);
	{
		Lock g(mu_);

		if (Clock::now() < refuse_until_)
			retry_after = retry_after_;
	}
	if (retry_after >= 0)
		return SendRefusal(x, 503, retry_after);
	if ((!expected.empty() && expected != opts_.id) ||
	    !HoldsModel(r.Header("Model")))
		return SendRefusal(x, 421, -1);
	if (opts_.choose_fault)
		f = opts_.choose_fault();
	if (f == FULL)
		return SendRefusal(x, 503, -1);
	StartRun(x.id);
	if (f == RESET) {
		FakeReset(x.fd);
		return false;
	}
	std::string head = AnswerHead(x) + "Response-Stamp: s." + x.id + "\r\n";
	if (f == FAILED)
		return Send(x, HttpAnswer(500, "failed", head));
	if (f == LATE)
		SleepMs(LATE_MS);
	if (stream && !opts_.crash_part.empty() &&
	    r.Header("Prompt-Prefix").find("," + opts_.crash_part) !=
		    std::string::npos)
		return CrashOnPart(x, head);
	return stream ? ServeStream(x, atoi(r.Header("Last-Event-Id").c_str()),
				    head, f)
		      : ServePlain(x, head, f);
}

/* Ends within the first event, with all other requests. */
bool FakeEndpoint::CrashOnPart(const Exchange &x, const std::string &head)
{
	Send(x, "HTTP/1.1 200 OK\r\n" + head + "\r\n" +
			Event(1, x.id).substr(0, 9));
	{
		Lock g(mu_);

		if (down_ || incarnation_ != x.incarnation || stop_)
			return false;
		restarts_.emplace_back([this] {
			auto until = Clock::now() +
				     std::chrono::milliseconds(opts_.down_ms);

			while (Clock::now() < until) {
				SleepMs(10);
				Lock l(mu_);
				if (stop_)
					return;
			}
			ComeBack();
		});
	}
	Crash();
	return false;
}

bool FakeEndpoint::ServePlain(const Exchange &x, const std::string &head,
			      Fault f)
{
	std::string answer = HttpAnswer(200, Body(x.id), head);

	if (f == CUT) {
		Send(x, answer.substr(0, answer.size() - 50));
		return false;
	}
	if (!Send(x, answer))
		return false;
	AddSent(x.id, answer.size(), true);
	if (f == STRAY)
		return Send(x, HttpAnswer(200, "stray",
					  "Attempt-Id: 0\r\n"
					  "Response-Stamp: s." +
						  x.id + "\r\n"));
	return true;
}

bool FakeEndpoint::ServeStream(const Exchange &x, int from,
			       const std::string &head, Fault f)
{
	if (!Send(x, "HTTP/1.1 200 OK\r\n" + head +
			     "Transfer-Encoding: chunked\r\n\r\n"))
		return false;
	for (int k = from + 1; k <= opts_.events; k++) {
		std::string e = Event(k, x.id + opts_.event_suffix);

		if (f == BROKEN_STREAM && k == 4) {
			Send(x, Chunk(e.substr(0, 9)));
			SleepMs(20);
			FakeReset(x.fd);
			return false;
		}
		if (!Send(x, Chunk(e)))
			return false;
		AddSent(x.id, e.size(), false);
		SleepMs(opts_.gap_ms / 2);
	}
	if (!Send(x, "0\r\n\r\n"))
		return false;
	AddSent(x.id, 0, true);
	return true;
}

bool FakeEndpoint::SendReport(const Exchange &x)
{
	std::string body;
	{
		Lock g(mu_);

		body = "{\"born\":" + std::to_string(incarnation_) +
		       ",\"seq\":" + std::to_string(orders_) +
		       ",\"busy\":false,\"state\":\"" + State() +
		       "\",\"models\":" + ModelsJson() + "}";
	}
	return Send(x, HttpAnswer(200, body, AnswerHead(x)));
}

/* Returns the status of an order, or 0 for one that crashes the engine. */
int FakeEndpoint::CarryOut(const std::string &op, const std::string &model,
			   const std::string &adapter)
{
	auto it = models_.find(model);

	if (op == "unload") {
		bool held = it != models_.end();

		if (adapter.empty() ? !held
				    : !held || !it->second.erase(adapter))
			return 200;
		if (adapter.empty())
			models_.erase(it);
	} else if (adapter.empty()) {
		if (it != models_.end())
			return 200;
		models_[model] = {};
	} else {
		size_t n = 0;

		if (it == models_.end())
			return 400;
		if (it->second.count(adapter))
			return 200;
		for (auto &m : models_)
			n += m.second.size();
		if (n >= opts_.adapter_slots) {
			overloads_++;
			return 0;
		}
		it->second.insert(adapter);
	}
	orders_++;
	return 202;
}

int FakeEndpoint::OrderStatus(const FakeRequest &r)
{
	json_t *o = json_loadb(r.body.data(), r.body.size(), 0, nullptr);
	const json_t *expected = json_object_get(o, "expected");
	std::string instance = r.Header("Expect-Instance");
	std::string text[3];
	const char *keys[] = { "op", "model", "adapter" };
	int status = 400;

	for (int i = 0; i < 3; i++) {
		const char *v = json_string_value(json_object_get(o, keys[i]));

		text[i] = v ? v : "";
	}
	Lock g(mu_);
	if (!instance.empty() && instance != opts_.id)
		status = 421;
	else if (expected &&
		 json_integer_value(expected) != (json_int_t)orders_)
		status = 409;
	else if (json_object_get(o, "holder") && json_object_get(o, "fence") &&
		 (text[0] == "load" || text[0] == "unload"))
		status = CarryOut(text[0], text[1], text[2]);
	json_decref(o);
	return status;
}

bool FakeEndpoint::TakeOrder(const Exchange &x, const FakeRequest &r)
{
	int status = OrderStatus(r);

	if (status == 0) {
		Restart();
		return false;
	}
	return Send(x, HttpAnswer(status, "", AnswerHead(x)));
}
