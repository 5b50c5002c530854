#ifndef SOAK_SOCKET_OWNER_H
#define SOAK_SOCKET_OWNER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * @file
 * Finds the process at the other end of a TCP connection within this machine:
 * the kernel's socket diagnostics name the inode of the peer's socket, and
 * /proc/PID/fd the sockets that a process has open.
 */

/** @return whether the kernel offers socket diagnostics. */
bool socket_owner_is_supported(void);

/** @return the inode of the socket that `fd` is connected to, or 0. */
uint32_t socket_peer_inode(int fd);

/** @return whether a process has the socket open. */
bool socket_is_open_in(uint32_t inode, pid_t pid);

#endif
