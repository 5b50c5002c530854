#include "free_port.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

/* Ports below the ephemeral range: the kernel gives none of them to an outgoing
 * connection before the program that listens on it starts. */
#define PORT_FIRST 10000
/* More than a soak run of the usual size uses. */
#define PORTS_PER_PROCESS 128
#define PORT_LAST 32000

/* @return a socket bound to the port, or -1 if the port is in use. */
static int bind_port(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr = { htonl(INADDR_LOOPBACK) },
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		return -1;
	if (!bind(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

int free_port_bind(int *fd)
{
	/* search continues here: a port is not returned again soon */
	static int port;
	int tries;

	/* concurrent processes start their search at different ports */
	if (!port)
		port = PORT_FIRST +
		       getpid() * PORTS_PER_PROCESS % (PORT_LAST - PORT_FIRST);
	for (tries = PORT_FIRST; tries < PORT_LAST; tries++) {
		if (++port >= PORT_LAST)
			port = PORT_FIRST;
		*fd = bind_port((uint16_t)port);
		if (*fd >= 0)
			return port;
	}
	return -1;
}

int free_port_find(void)
{
	int fd;
	int port = free_port_bind(&fd);

	if (port >= 0)
		close(fd);
	return port;
}
