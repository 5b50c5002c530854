#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/**
 * @file
 * Linked into a program, cuts its path to some addresses of the loopback: while
 * the file named by CUT_PATH_FILE exists, connections to the ports in it are refused
 * ("refuse PORT...") or hang ("hang PORT..."). Open connections live on.
 */

#define BLACKHOLE_BACKLOG 0
#define BLACKHOLE_FILL 4

static int call_connect(int fd, const struct sockaddr *address, socklen_t bytes)
{
	static int (*next)(int, const struct sockaddr *, socklen_t);

	if (!next)
		*(void **)&next = dlsym(RTLD_NEXT, "connect");
	return next(fd, address, bytes);
}

/* Opens a port whose queue of new connections is full: further ones hang. */
static const struct sockaddr_in *blackhole(void)
{
	static struct sockaddr_in address;
	socklen_t bytes = sizeof(address);
	int fd;
	int i;

	if (address.sin_port)
		return &address;
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, BLACKHOLE_BACKLOG) ||
	    getsockname(fd, (struct sockaddr *)&address, &bytes))
		abort();
	for (i = 0; i < BLACKHOLE_FILL; i++)
		call_connect(socket(AF_INET,
				    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0),
			     (struct sockaddr *)&address, sizeof(address));
	return &address;
}

/* @return whether the port is in the file; `hang` tells how it is cut. */
static bool is_cut(uint16_t port, bool *hang)
{
	const char *name = getenv("CUT_PATH_FILE");
	FILE *file = name ? fopen(name, "re") : NULL;
	char word[16];
	bool found = false;

	if (!file)
		return false;
	if (fscanf(file, "%15s", word) == 1)
		*hang = !strcmp(word, "hang");
	while (!found && fscanf(file, "%15s", word) == 1)
		found = strtol(word, NULL, 10) == port;
	fclose(file);
	return found;
}

int connect(int fd, const struct sockaddr *address, socklen_t bytes)
{
	const struct sockaddr_in *to = (const struct sockaddr_in *)address;
	bool hang = false;

	if (address->sa_family != AF_INET || !is_cut(ntohs(to->sin_port), &hang))
		return call_connect(fd, address, bytes);
	if (hang)
		return call_connect(fd, (const struct sockaddr *)blackhole(),
				    sizeof(*to));
	errno = ECONNREFUSED;
	return -1;
}
