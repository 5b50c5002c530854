#ifndef NET_TCP_H
#define NET_TCP_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

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
 *
 * @param silence_max_ms time after which sent bytes that the peer's kernel has
 * not confirmed end the connection.
 */
void tcp_prepare(int fd, uint32_t silence_max_ms);

/** Silence that ends a connection of a caller, in ms. */
#define TCP_SILENCE_CALLER_MS 3000

/** @return a new non-blocking socket prepared for a connection, or -1. */
MUST_USE int tcp_socket(uint32_t silence_max_ms);

#endif
