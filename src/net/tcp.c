#include "net/tcp.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"

/* Keep-alive probes end an idle connection whose peer stopped responding in less
 * than 4 s, the time in which a fleet must recover from silently lost
 * connections. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

bool tcp_parse_address(const char *text, struct sockaddr_in *address)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];
	char *end;
	long port;

	if (!colon || colon == text || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	/* no sign and no space, which strtol() accepts */
	if (!isdigit((unsigned char)colon[1]))
		return false;
	errno = 0;
	port = strtol(colon + 1, &end, 10);
	if (errno || *end || end == colon + 1 || port < 1 || port > UINT16_MAX)
		return false;
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

static void set_option(int fd, int level, int name, int value)
{
	if (setsockopt(fd, level, name, &value, sizeof(value)))
		log_debug("net",
			  "kernel refused a socket option option=%d "
			  "error=\"%s\"",
			  name, strerror(errno));
}

void tcp_set_user_timeout(int fd, uint32_t timeout_ms)
{
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, (int)timeout_ms);
}

size_t tcp_unacknowledged_bytes(int fd)
{
	int bytes = 0;

	if (ioctl(fd, SIOCOUTQ, &bytes) || bytes < 0)
		return 0;
	return (size_t)bytes;
}

void tcp_set_options(int fd, uint32_t user_timeout_ms)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	tcp_set_user_timeout(fd, user_timeout_ms);
}

int tcp_open_socket(uint32_t user_timeout_ms)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		log_warn("net", "cannot open a socket error=\"%s\"",
			 strerror(errno));
	else
		tcp_set_options(fd, user_timeout_ms);
	return fd;
}
