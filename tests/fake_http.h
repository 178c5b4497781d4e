/*
 * HTTP/1.1 server for tests with one thread per connection. The handler writes
 * raw bytes, so it can fail at any point of a response.
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
	/* Returns the value of a header, or an empty string. */
	std::string Header(const std::string &name) const;
};

class FakeServer
{
      public:
	/* Writes the response to the socket; false: closes the connection. */
	using Handler = std::function<bool(int fd, const FakeRequest &r)>;

	FakeServer(const char *ip, Handler h);
	~FakeServer();
	int port() const
	{
		return port_;
	}
	std::string addr() const;
	/* All requests received so far. */
	std::vector<FakeRequest> seen();
	/* Requests whose target contains @target_part. */
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

/* Sends all bytes; stops silently when the peer closed. */
void FakeSend(int fd, const std::string &bytes);
/* Makes the next close() send a reset. */
void FakeReset(int fd);
/* Receives until the peer closes or the data contains @until. */
std::string FakeReceive(int fd, const std::string &until = "");
/* Connects; returns a socket with a receive timeout, or -1. */
int FakeDial(const char *ip, int port, int timeout_s = 20);
/* Sends a GET; returns the whole response, empty when not connected. */
std::string FakeGet(const char *ip, int port, const std::string &target,
		    int timeout_s = 20);

#endif
