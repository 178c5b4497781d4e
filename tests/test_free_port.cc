#include "tests/gateway_fixture.h"

#include <gtest/gtest.h>

namespace
{

const int PORTS = 500;

// Other test processes that ran at the time took the ports of gateways.
TEST(FreePort, IsNotGivenToTwoProcesses)
{
	int to_child[2], from_child[2];
	std::set<int> own;
	int port;
	char c = 0;

	ASSERT_EQ(pipe(to_child), 0);
	ASSERT_EQ(pipe(from_child), 0);
	pid_t child = fork();
	if (child == 0) {
		close(to_child[1]);
		for (int i = 0; i < PORTS; i++) {
			port = FreePort();
			if (write(from_child[1], &port, sizeof(port)) < 0)
				_exit(1);
		}
		/* Keeps them until the parent has drawn its own. */
		_exit(read(to_child[0], &c, 1) < 0);
	}
	for (int i = 0; i < PORTS; i++)
		own.insert(FreePort());
	EXPECT_EQ(own.size(), static_cast<size_t>(PORTS));
	for (int i = 0; i < PORTS; i++) {
		ASSERT_EQ(read(from_child[0], &port, sizeof(port)),
			  static_cast<ssize_t>(sizeof(port)));
		EXPECT_EQ(own.count(port), 0u) << port;
	}
	close(to_child[1]);
	waitpid(child, nullptr, 0);
	close(to_child[0]);
	close(from_child[0]);
	close(from_child[1]);
}

} // namespace
