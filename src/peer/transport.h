#ifndef PEER_TRANSPORT_H
#define PEER_TRANSPORT_H

#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Sends and receives messages between entry VMs over ZeroMQ. With the fleet's
 * key pair set, messages are encrypted and peers without it are rejected. A
 * transport belongs to one thread.
 */

struct peer_transport;

struct peer_transport_options {
	const char *address;	/**< "IP:port" to listen on */
	const char *public_key; /**< the fleet's, in Z85; empty: no encryption */
	const char *secret_key;
};

/**
 * @return a transport to be closed with peer_transport_close(), or NULL after
 * one line on standard error.
 */
struct peer_transport *
peer_transport_open(const struct peer_transport_options *options);

/** Closes all sockets. NULL is allowed. */
void peer_transport_close(struct peer_transport *transport);

/**
 * Sends without blocking. A message that cannot be queued is dropped; later
 * messages carry its content again.
 *
 * @return 0, or -1 when the message was dropped.
 */
int peer_transport_send(struct peer_transport *transport, const char *address,
			const void *bytes, size_t byte_count);

/**
 * Receives one message.
 *
 * @param wait_ms longest time to block.
 * @param bytes receives a buffer that the caller frees with g_free().
 * @return the message's length in bytes, or -1 when none arrived.
 */
int64_t peer_transport_receive(struct peer_transport *transport,
			       uint32_t wait_ms, void **bytes);

/** Closes connections to the addresses for which `keep` returns 0. */
void peer_transport_prune(struct peer_transport *transport,
			  int (*keep)(void *context, const char *address),
			  void *context);

#endif
