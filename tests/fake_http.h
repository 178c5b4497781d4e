/*
 * HTTP/1.1 server with a thread per connection, whose handler writes raw bytes
 * and so can fail at any point.
 */
#ifndef TESTS_FAKE_HTTP_H
#define TESTS_FAKE_HTTP_H

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

struct FakeRequest {
	std::string method, target, head, body;
	/* Returns an empty string for a missing header. */
	std::string Header(const std::string &name) const;
};

class FakeServer
{
      public:
	/* Returns false to close the connection. */
	using Handler = std::function<bool(int fd, const FakeRequest &r)>;

	FakeServer(const char *ip, Handler h);
	~FakeServer();
	int port() const
	{
		return port_;
	}
	std::string addr() const;
	std::vector<FakeRequest> seen();
	size_t count(const std::string &target_part);
	/* Resets connections once their handlers return. */
	void ResetConnections();

      private:
	void Accept();
	void Serve(int fd);

	std::string ip_;
	Handler handler_;
	int listener_ = -1;
	int port_ = 0;
	std::atomic<bool> stop_{ false };
	std::mutex mu_;
	std::vector<FakeRequest> seen_;
	std::condition_variable ended_;
	size_t n_threads_ = 0; /* detached, one for each connection */
	std::set<int> fds_;
	std::thread acceptor_;
};

/* Returns false when the peer closed. */
bool FakeSend(int fd, const std::string &bytes);
/* Makes the next close() send a reset. */
void FakeReset(int fd);
/* Receives until the peer closes or @until is seen. */
std::string FakeReceive(int fd, const std::string &until = "");
/* Returns a socket with a receive timeout, or -1. */
int FakeDial(const char *ip, int port, int timeout_s = 20);
/* Returns an empty string when not connected. */
std::string FakeGet(const char *ip, int port, const std::string &target,
		    int timeout_s = 20);
std::string HttpAnswer(int status, const std::string &body,
		       const std::string &headers = "");
/* One chunk of a chunked body. */
std::string Chunk(const std::string &s);

#endif
