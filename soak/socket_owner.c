#include "socket_owner.h"

#include <glib.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct diag_request {
	struct nlmsghdr header;
	struct inet_diag_req_v2 body;
};

struct diag_response {
	struct nlmsghdr header;
	struct inet_diag_msg body;
	char attributes[512];
};

static int open_diag(void)
{
	return socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
}

bool socket_owner_is_supported(void)
{
	int diag = open_diag();

	if (diag >= 0)
		close(diag);
	return diag >= 0;
}

uint32_t socket_peer_inode(int fd)
{
	struct diag_request request = {
		.header = { .nlmsg_len = sizeof(request),
			    .nlmsg_type = SOCK_DIAG_BY_FAMILY,
			    .nlmsg_flags = NLM_F_REQUEST },
		.body = { .sdiag_family = AF_INET,
			  .sdiag_protocol = IPPROTO_TCP,
			  .idiag_states = UINT32_MAX },
	};
	struct inet_diag_sockid *id = &request.body.id;
	struct diag_response response = { 0 };
	struct sockaddr_in own = { 0 };
	struct sockaddr_in peer = { 0 };
	socklen_t own_bytes = sizeof(own);
	socklen_t peer_bytes = sizeof(peer);
	uint32_t inode = 0;
	int diag;

	if (getsockname(fd, (struct sockaddr *)&own, &own_bytes) ||
	    getpeername(fd, (struct sockaddr *)&peer, &peer_bytes))
		return 0;
	id->idiag_sport = peer.sin_port;
	id->idiag_src[0] = peer.sin_addr.s_addr;
	id->idiag_dport = own.sin_port;
	id->idiag_dst[0] = own.sin_addr.s_addr;
	memset(id->idiag_cookie, 0xff, sizeof(id->idiag_cookie)); /* any */
	diag = open_diag();
	if (diag < 0)
		return 0;
	if (send(diag, &request, sizeof(request), 0) == sizeof(request) &&
	    recv(diag, &response, sizeof(response), 0) > 0 &&
	    response.header.nlmsg_type == SOCK_DIAG_BY_FAMILY)
		inode = response.body.idiag_inode;
	close(diag);
	return inode;
}

bool socket_is_open_in(uint32_t inode, pid_t pid)
{
	char *dir_name = g_strdup_printf("/proc/%d/fd", pid);
	char *wanted = g_strdup_printf("socket:[%u]", inode);
	GDir *dir = inode ? g_dir_open(dir_name, 0, NULL) : NULL;
	const char *name;
	bool found = false;

	while (dir && !found && (name = g_dir_read_name(dir))) {
		char *path = g_strdup_printf("%s/%s", dir_name, name);
		char *link = g_file_read_link(path, NULL);

		found = !g_strcmp0(link, wanted);
		g_free(link);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_free(wanted);
	g_free(dir_name);
	return found;
}
