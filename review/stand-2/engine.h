/*
 * An engine beside a loader: weights, adapters, copies on disk, the time of a load
 * and the count of orders as PROTOCOL.md says. An order to load more than the
 * weights hold is counted and not carried out; the script ends then.
 */
#ifndef REVIEW_STAND_2_ENGINE_H
#define REVIEW_STAND_2_ENGINE_H

#include "review/stand-2/stand.h"

/* The engine of one side machine. */
class Engine
{
      public:
	Engine(FakeStore &store, double weights_mb, double model_mb,
	       const std::set<std::string> &models)
	    : store_(store), weights_mb_(weights_mb), model_mb_(model_mb),
	      models_(models), disk_(models)
	{
		server_ = std::make_unique<FakeServer>(
			"127.0.0.30", [this](int fd, const FakeRequest &r) {
				return Handle(fd, r);
			});
		WriteEntry();
	}
	std::string addr() const
	{
		return server_->addr();
	}
	void WriteEntry()
	{
		std::lock_guard<std::mutex> g(mu_);

		store_.Put("servers", "i-e",
			   EntryText("llm", server_->addr(), 64, ModelsJson(),
				     born_));
	}
	/* Empty, under the same id; what was late is still on its way. */
	void Crash()
	{
		{
			std::lock_guard<std::mutex> g(mu_);

			Note("i-e crashes");
			down_ = true;
			born_ += 60000;
			seq_ = 0;
			models_.clear();
			adapters_.clear();
			busy_until_ = 0;
			loading_.clear();
		}
		server_->ResetConnections();
	}
	void ComeBack()
	{
		std::lock_guard<std::mutex> g(mu_);

		down_ = false;
		Note("i-e is back, empty");
	}
	bool Holds(const std::string &model)
	{
		std::lock_guard<std::mutex> g(mu_);

		FinishLoad();
		return models_.count(model) > 0;
	}
	size_t Count()
	{
		std::lock_guard<std::mutex> g(mu_);

		return models_.size();
	}
	size_t Adapters()
	{
		std::lock_guard<std::mutex> g(mu_);

		return adapters_.size();
	}
	/* Orders for this model get no answer and are carried out late. */
	std::string late_model;
	double late_s = 0;
	std::atomic<bool> late{ false };
	std::atomic<double> lost_at{ 0 };
	std::atomic<int> overloads{ 0 };

      private:
	std::string ModelsJson()
	{
		std::string out;

		for (const std::string &m : models_) {
			std::string list;

			for (const std::string &a : adapters_) {
				if (a.substr(0, a.find('/')) != m)
					continue;
				list += (list.empty() ? "\"" : ",\"") +
					a.substr(a.find('/') + 1) + "\"";
			}
			out += (out.empty() ? "" : ",") +
			       ("{\"name\":\"" + m +
				"\",\"version\":1,\"adapters\":[" + list +
				"]}");
		}
		return "[" + out + "]";
	}
	void FinishLoad()
	{
		if (loading_.empty() || Now() < busy_until_)
			return;
		models_.insert(loading_);
		disk_.insert(loading_);
		Note("i-e holds %s", loading_.c_str());
		loading_.clear();
	}
	std::string Report()
	{
		std::string disk;
		std::lock_guard<std::mutex> g(mu_);

		FinishLoad();
		for (const std::string &m : disk_)
			disk += (disk.empty() ? "\"" : ",\"") + m + "\"";
		return "{\"stage\":\"unified\",\"state\":\"ready\","
		       "\"models\":" +
		       ModelsJson() +
		       ",\"busy\":" + (loading_.empty() ? "false" : "true") +
		       ",\"seq\":" + std::to_string(seq_) +
		       ",\"born\":" + std::to_string(born_) +
		       ",\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":"
		       "239984,\"handles\":0,\"at_hand\":{\"in_memory\":[],"
		       "\"on_disk\":[" +
		       disk + "]}}";
	}
	/* Returns the status. */
	int CarryOut(const FakeRequest &r, bool late)
	{
		json_t *o =
			json_loadb(r.body.data(), r.body.size(), 0, nullptr);
		std::string op = json_string_value(json_object_get(o, "op"));
		std::string model =
			json_string_value(json_object_get(o, "model"));
		const json_t *adapter = json_object_get(o, "adapter");
		long long expected =
			json_integer_value(json_object_get(o, "expected"));
		std::string item = model;
		int status = 202;
		std::lock_guard<std::mutex> g(mu_);

		if (adapter)
			item += std::string("/") + json_string_value(adapter);
		FinishLoad();
		if (r.Header(HDR_EXPECT_INSTANCE) != "i-e")
			status = 421;
		else if (down_)
			status = 0;
		else if (!loading_.empty() || expected != seq_)
			status = 409;
		else if (adapter && op == "load")
			adapters_.insert(item);
		else if (adapter)
			adapters_.erase(item);
		else if (op == "unload")
			models_.erase(item);
		else if (models_.count(item))
			status = 200;
		else if ((double)(models_.size() + 1) * model_mb_ > weights_mb_)
			overloads++;
		else
			Load(item);
		Note("i-e: %s %s, expected %lld, seq %d, %zu models%s: %d%s",
		     op.c_str(), item.c_str(), expected, seq_, models_.size(),
		     late ? ", late" : "", status,
		     overloads ? ", more than weights_mb: it crashes" : "");
		if (status == 202)
			seq_++;
		json_decref(o);
		return status;
	}
	void Load(const std::string &model)
	{
		loading_ = model;
		busy_until_ = Now() + (disk_.count(model) ? 0.52 : 1.2);
	}
	bool Handle(int fd, const FakeRequest &r)
	{
		std::string id = IdOf(r);
		std::string model = r.Header("Model");

		if (down_) {
			FakeReset(fd);
			return false;
		}
		if (r.target == "/report")
			return FakeSend(fd, HttpAnswer(200, Report()));
		if (r.target == "/order")
			return Order(fd, r);
		model = model.substr(0, model.find('/'));
		if (!Holds(model) || !HasAdapter(r.Header("Model")))
			return FakeSend(fd, HttpAnswer(421, "",
						       AnswerLines(id) +
							       HDR_NOT_RUN +
							       ": 1\r\n"));
		Note("%s runs at i-e on %s", id.c_str(), model.c_str());
		FakeSend(fd, StreamHead(id));
		for (int k = 1; k <= 4; k++)
			FakeSend(fd, Chunk("id: " + std::to_string(k) +
					   "\ndata: x\n\n"));
		return FakeSend(fd, "0\r\n\r\n");
	}
	bool HasAdapter(const std::string &name)
	{
		std::lock_guard<std::mutex> g(mu_);

		return name.find('/') == std::string::npos ||
		       adapters_.count(name);
	}
	bool Order(int fd, const FakeRequest &r)
	{
		if (late && r.body.find("\"model\":\"" + late_model + "\"") !=
				    std::string::npos) {
			Note("i-e leaves an order unanswered: %s",
			     r.body.c_str());
			if (lost_at == 0)
				lost_at = Now();
			std::thread([this, r] {
				SleepMs((unsigned)(late_s * 1000));
				CarryOut(r, true);
			}).detach();
			SleepMs(2000);
			return false;
		}
		int status = CarryOut(r, false);

		return status && FakeSend(fd, HttpAnswer(status, ""));
	}

	FakeStore &store_;
	double weights_mb_, model_mb_;
	std::mutex mu_;
	std::set<std::string> models_, adapters_, disk_;
	std::string loading_;
	double busy_until_ = 0;
	long long born_ = 1000;
	int seq_ = 0;
	std::atomic<bool> down_{ false };
	std::unique_ptr<FakeServer> server_;
};

/* A stream on each of these models, every 200 ms, until @until() holds. */
inline bool Demand(const Gateway &g, const std::vector<std::string> &models,
		   double s, const std::function<bool()> &until)
{
	double end = Now() + s;

	while (Now() < end && !until()) {
		for (const std::string &m : models)
			std::thread([&g, m] {
				(void)Ask(g, RequestText("POST", "/t/x",
							 NewId(), 5000,
							 "Connection: close\r\n"
							 "Model: " +
								 m + "\r\n"));
			}).detach();
		SleepMs(200);
	}
	return until();
}

#endif
