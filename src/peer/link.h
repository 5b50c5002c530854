#ifndef PEER_LINK_H
#define PEER_LINK_H

#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Messages between entry VMs over ZeroMQ, encrypted and closed to whoever does
 * not hold the fleet's key pair. One thread uses a link.
 */

struct link;

struct link_options {
	const char *address;	/**< "IP:port" to listen on */
	const char *public_key; /**< Z85 of the fleet; empty: no encryption */
	const char *secret_key;
};

/** @return a link to be closed with link_close(), or NULL. */
struct link *link_open(const struct link_options *options);
void link_close(struct link *link);

/**
 * Sends without waiting; a message that cannot go out now is dropped, since
 * whatever it says is said again.
 *
 * @return 0, or -1 when it was dropped.
 */
int link_send(struct link *link, const char *address, const void *bytes,
	      size_t byte_count);

/**
 * @param wait_ms longest wait.
 * @param bytes receives a buffer that the caller frees.
 * @return the message's length, or -1 when none came.
 */
int64_t link_receive(struct link *link, uint32_t wait_ms, void **bytes);

/** Closes connections to addresses that `keep` does not hold to. */
void link_forget(struct link *link,
		 int (*keep)(void *context, const char *address), void *context);

#endif
