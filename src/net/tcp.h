#ifndef NET_TCP_H
#define NET_TCP_H

#include <netinet/in.h>
#include <stdbool.h>

#include "base/attributes.h"

/**
 * @file
 * Sockets as every part of the program opens them.
 */

/** Parses "IPv4:port". @return false for anything else. */
MUST_USE bool tcp_parse(const char *text, struct sockaddr_in *address);

/**
 * Sets what every connection needs: no delay of small writes, and probes that
 * find a silent peer.
 */
void tcp_prepare(int fd);

/** @return a new non-blocking socket prepared for a connection, or -1. */
MUST_USE int tcp_socket(void);

#endif
