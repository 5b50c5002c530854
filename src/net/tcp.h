#ifndef NET_TCP_H
#define NET_TCP_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/attributes.h"

/**
 * @file
 * TCP addresses, sockets and the socket options of all connections.
 */

/** Parses "IPv4:port". @return false for anything else. */
MUST_USE bool tcp_parse_address(const char *text, struct sockaddr_in *address);

/**
 * Sets the options that every connection needs: TCP_NODELAY, and keep-alive
 * probes that detect a peer that stopped responding.
 *
 * @param user_timeout_ms TCP_USER_TIMEOUT: the connection ends when sent bytes
 * stay unacknowledged for this time; 0: the kernel's default.
 */
void tcp_set_options(int fd, uint32_t user_timeout_ms);

/** Changes the TCP_USER_TIMEOUT of an open connection. */
void tcp_set_user_timeout(int fd, uint32_t timeout_ms);

/** @return sent bytes that the peer's kernel has not acknowledged; 0 if that is
 * not known. */
size_t tcp_unacknowledged_bytes(int fd);

/** TCP_USER_TIMEOUT of callers' connections. */
#define TCP_CALLER_USER_TIMEOUT_MS 3000

/** @return a non-blocking socket with these options set, or -1. */
MUST_USE int tcp_open_socket(uint32_t user_timeout_ms);

#endif
