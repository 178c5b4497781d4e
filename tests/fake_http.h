/*
 * A server for tests that speaks HTTP/1.1 by hand, a thread for each
 * connection, so that it can misbehave at any byte.
 */
#ifndef TESTS_FAKE_HTTP_H
#define TESTS_FAKE_HTTP_H

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

struct FakeRequest {
	std::string method, target, head, body;
	/* The value of a header; empty: none. */
	std::string Header(const std::string &name) const;
};

class FakeServer
{
      public:
	/* Answers on the socket; false: the connection ends. */
	using Handler = std::function<bool(int fd, const FakeRequest &r)>;

	FakeServer(const char *ip, Handler h);
	~FakeServer();
	int port() const
	{
		return port_;
	}
	std::string addr() const;
	/* All requests so far. */
	std::vector<FakeRequest> seen();
	size_t count(const std::string &target_part);

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
	std::vector<std::thread> threads_;
	std::vector<int> fds_;
	std::thread acceptor_;
};

void FakeSend(int fd, const std::string &bytes);
/* Closes with a reset. */
void FakeReset(int fd);
/* Everything until the peer closes, or @until shows. */
std::string FakeReceive(int fd, const std::string &until = "");
int FakeDial(const char *ip, int port, int timeout_s = 20);
/* The answer to one GET, or nothing. */
std::string FakeGet(const char *ip, int port, const std::string &target,
		    int timeout_s = 20);

#endif
