#include "tests/fake_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

std::string FakeRequest::Header(const std::string &name) const
{
	size_t at = head.find("\r\n");

	while (at != std::string::npos && at + 2 < head.size()) {
		size_t end = head.find("\r\n", at + 2);
		std::string line = head.substr(at + 2, end - at - 2);

		if (strncasecmp(line.c_str(), (name + ":").c_str(),
				name.size() + 1) == 0) {
			size_t v = name.size() + 1;

			while (v < line.size() && line[v] == ' ')
				v++;
			return line.substr(v);
		}
		at = end;
	}
	return "";
}

bool FakeSend(int fd, const std::string &bytes)
{
	size_t at = 0;

	while (at < bytes.size()) {
		ssize_t n = send(fd, bytes.data() + at, bytes.size() - at,
				 MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		at += (size_t)n;
	}
	return true;
}

void FakeReset(int fd)
{
	struct linger l = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

std::string FakeReceive(int fd, const std::string &until)
{
	std::string all;
	char buf[8192];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0) {
		all.append(buf, (size_t)n);
		if (!until.empty() && all.find(until) != std::string::npos)
			break;
	}
	return all;
}

int FakeDial(const char *ip, int port, int timeout_s)
{
	struct sockaddr_in sin = {};
	struct timeval tv = { timeout_s, 0 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &sin.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

std::string FakeGet(const char *ip, int port, const std::string &target,
		    int timeout_s)
{
	int fd = FakeDial(ip, port, timeout_s);

	if (fd < 0)
		return "";
	FakeSend(fd,
		 "GET " + target +
			 " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	std::string got = FakeReceive(fd);

	close(fd);
	return got;
}

std::string HttpAnswer(int status, const std::string &body,
		       const std::string &headers)
{
	return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

std::string Chunk(const std::string &s)
{
	char n[16];

	snprintf(n, sizeof(n), "%zx\r\n", s.size());
	return n + s + "\r\n";
}

FakeServer::FakeServer(const char *ip, Handler h)
    : ip_(ip), handler_(std::move(h))
{
	struct sockaddr_in sin = {};
	socklen_t len = sizeof(sin);
	int one = 1;

	listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	sin.sin_family = AF_INET;
	inet_pton(AF_INET, ip, &sin.sin_addr);
	if (bind(listener_, (struct sockaddr *)&sin, sizeof(sin)) < 0 ||
	    listen(listener_, 64) < 0)
		abort();
	getsockname(listener_, (struct sockaddr *)&sin, &len);
	port_ = ntohs(sin.sin_port);
	acceptor_ = std::thread([this] { Accept(); });
}

FakeServer::~FakeServer()
{
	stop_ = true;
	shutdown(listener_, SHUT_RDWR);
	acceptor_.join();
	close(listener_);
	std::unique_lock<std::mutex> g(mu_);
	for (int fd : fds_)
		shutdown(fd, SHUT_RDWR);
	ended_.wait(g, [this] { return n_threads_ == 0; });
}

std::string FakeServer::addr() const
{
	return ip_ + ":" + std::to_string(port_);
}

std::vector<FakeRequest> FakeServer::seen()
{
	std::lock_guard<std::mutex> g(mu_);

	return seen_;
}

size_t FakeServer::count(const std::string &part)
{
	size_t n = 0;

	for (const FakeRequest &r : seen())
		n += r.target.find(part) != std::string::npos;
	return n;
}

void FakeServer::ResetConnections()
{
	std::lock_guard<std::mutex> g(mu_);

	for (int fd : fds_) {
		FakeReset(fd);
		/* Ends recv() without telling the peer. */
		shutdown(fd, SHUT_RD);
	}
}

void FakeServer::Accept()
{
	int fd;

	while ((fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
		std::lock_guard<std::mutex> g(mu_);

		fds_.insert(fd);
		n_threads_++;
		std::thread([this, fd] { Serve(fd); }).detach();
	}
}

void FakeServer::Serve(int fd)
{
	std::string in;
	char buf[8192];
	ssize_t n;

	while (!stop_) {
		FakeRequest r;
		size_t end;
		size_t body = 0;

		while ((end = in.find("\r\n\r\n")) == std::string::npos) {
			n = recv(fd, buf, sizeof(buf), 0);
			if (n <= 0)
				goto out;
			in.append(buf, (size_t)n);
		}
		r.head = in.substr(0, end + 4);
		in.erase(0, end + 4);
		r.method = r.head.substr(0, r.head.find(' '));
		r.target = r.head.substr(r.method.size() + 1);
		r.target = r.target.substr(0, r.target.find(' '));
		body = strtoul(r.Header("Content-Length").c_str(), nullptr, 10);
		while (in.size() < body) {
			n = recv(fd, buf, sizeof(buf), 0);
			if (n <= 0)
				goto out;
			in.append(buf, (size_t)n);
		}
		r.body = in.substr(0, body);
		in.erase(0, body);
		{
			std::lock_guard<std::mutex> g(mu_);

			seen_.push_back(r);
		}
		if (!handler_(fd, r))
			break;
	}
out:
	std::lock_guard<std::mutex> g(mu_);
	fds_.erase(fd);
	close(fd);
	n_threads_--;
	ended_.notify_all();
}
