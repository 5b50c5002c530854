#include "peer/link.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "base/log.h"
#include "wire/wire.h"

#define ENDPOINT_BYTES 96
#define QUEUE_MESSAGES 64
#define KEY_BYTES 32
#define ZAP_FRAMES_MAX 16
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 2000
#define HANDSHAKE_MS 3000

struct link {
	void *zmq;
	void *inbound;
	GHashTable *outbound; /* address -> socket */
	char *public_key;
	char *secret_key;
	void *zap;
	pthread_t zap_thread;
	bool zap_running;
	uint8_t allowed_key[KEY_BYTES];
};

/* Frames of a request of ZeroMQ's authentication protocol (ZAP 1.0). */
enum zap_frame {
	ZAP_VERSION,
	ZAP_REQUEST_ID,
	ZAP_DOMAIN,
	ZAP_ADDRESS,
	ZAP_IDENTITY,
	ZAP_MECHANISM,
	ZAP_KEY,
};

struct zap_request {
	char request_id[64];
	size_t request_id_bytes;
	bool allowed;
};

static void read_zap_frame(struct link *link, struct zap_request *request,
			   int index, zmq_msg_t *frame)
{
	size_t bytes = zmq_msg_size(frame);

	if (index == ZAP_REQUEST_ID && bytes <= sizeof(request->request_id)) {
		memcpy(request->request_id, zmq_msg_data(frame), bytes);
		request->request_id_bytes = bytes;
	}
	if (index == ZAP_KEY)
		request->allowed =
			bytes == KEY_BYTES &&
			!memcmp(zmq_msg_data(frame), link->allowed_key, bytes);
}

/** @return false when the socket was closed. */
static bool read_zap(struct link *link, struct zap_request *request)
{
	zmq_msg_t frame;
	bool more = true;
	int index;

	memset(request, 0, sizeof(*request));
	for (index = 0; more && index < ZAP_FRAMES_MAX; index++) {
		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, link->zap, 0) < 0) {
			zmq_msg_close(&frame);
			return false;
		}
		read_zap_frame(link, request, index, &frame);
		more = zmq_msg_more(&frame);
		zmq_msg_close(&frame);
	}
	return true;
}

static void answer_zap(struct link *link, const struct zap_request *request)
{
	const char *status = request->allowed ? "200" : "400";

	zmq_send(link->zap, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(link->zap, request->request_id, request->request_id_bytes,
		 ZMQ_SNDMORE);
	zmq_send(link->zap, status, 3, ZMQ_SNDMORE);
	zmq_send(link->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(link->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(link->zap, "", 0, 0);
}

/** Admits peers that hold the fleet's key; ends when the context does. */
static void *admit_peers(void *context)
{
	struct link *link = context;
	struct zap_request request;

	while (read_zap(link, &request)) {
		if (!request.allowed)
			log_warn("peer", "refused a stranger's key");
		answer_zap(link, &request);
	}
	zmq_close(link->zap);
	return NULL;
}

static int start_zap(struct link *link)
{
	if (!zmq_z85_decode(link->allowed_key, link->public_key))
		return -1;
	link->zap = zmq_socket(link->zmq, ZMQ_REP);
	if (!link->zap || zmq_bind(link->zap, "inproc://zeromq.zap.01"))
		return -1;
	if (pthread_create(&link->zap_thread, NULL, admit_peers, link))
		return -1;
	link->zap_running = true;
	return 0;
}

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static int start_inbound(struct link *link, const char *address)
{
	char endpoint[ENDPOINT_BYTES];
	int64_t message_max = WIRE_BYTES_MAX;

	link->inbound = zmq_socket(link->zmq, ZMQ_PULL);
	if (!link->inbound)
		return -1;
	set_int(link->inbound, ZMQ_LINGER, 0);
	zmq_setsockopt(link->inbound, ZMQ_MAXMSGSIZE, &message_max,
		       sizeof(message_max));
	if (link->secret_key) {
		set_int(link->inbound, ZMQ_CURVE_SERVER, 1);
		if (zmq_setsockopt(link->inbound, ZMQ_CURVE_SECRETKEY,
				   link->secret_key, strlen(link->secret_key)))
			return -1;
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	return zmq_bind(link->inbound, endpoint);
}

static void close_socket(gpointer socket)
{
	zmq_close(socket);
}

struct link *link_open(const struct link_options *options)
{
	struct link *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->zmq = zmq_ctx_new();
	link->outbound = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       close_socket);
	if (options->public_key[0]) {
		link->public_key = strdup(options->public_key);
		link->secret_key = strdup(options->secret_key);
		if (start_zap(link))
			goto fail;
	}
	if (start_inbound(link, options->address))
		goto fail;
	return link;
fail:
	fprintf(stderr, "peer: cannot listen address=%s error=\"%s\"\n",
		options->address, zmq_strerror(zmq_errno()));
	link_close(link);
	return NULL;
}

void link_close(struct link *link)
{
	if (!link)
		return;
	g_hash_table_destroy(link->outbound);
	if (link->inbound)
		zmq_close(link->inbound);
	zmq_ctx_shutdown(link->zmq);
	if (link->zap_running)
		pthread_join(link->zap_thread, NULL);
	else if (link->zap)
		zmq_close(link->zap);
	zmq_ctx_term(link->zmq);
	free(link->public_key);
	free(link->secret_key);
	free(link);
}

static void *connect_to(struct link *link, const char *address)
{
	char endpoint[ENDPOINT_BYTES];
	void *socket = zmq_socket(link->zmq, ZMQ_PUSH);

	if (!socket)
		return NULL;
	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, QUEUE_MESSAGES);
	set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_int(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
	if (link->secret_key) {
		zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, link->public_key,
			       strlen(link->public_key));
		zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, link->public_key,
			       strlen(link->public_key));
		zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, link->secret_key,
			       strlen(link->secret_key));
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (zmq_connect(socket, endpoint)) {
		zmq_close(socket);
		return NULL;
	}
	g_hash_table_insert(link->outbound, g_strdup(address), socket);
	return socket;
}

int link_send(struct link *link, const char *address, const void *bytes,
	      size_t byte_count)
{
	void *socket = g_hash_table_lookup(link->outbound, address);

	if (!socket)
		socket = connect_to(link, address);
	if (!socket)
		return -1;
	return zmq_send(socket, bytes, byte_count, ZMQ_DONTWAIT) < 0 ? -1 : 0;
}

int64_t link_receive(struct link *link, uint32_t wait_ms, void **bytes)
{
	zmq_pollitem_t item = { link->inbound, 0, ZMQ_POLLIN, 0 };
	int64_t byte_count = -1;
	zmq_msg_t message;

	if (zmq_poll(&item, 1, wait_ms) <= 0)
		return -1;
	zmq_msg_init(&message);
	if (zmq_msg_recv(&message, link->inbound, ZMQ_DONTWAIT) >= 0) {
		byte_count = (int64_t)zmq_msg_size(&message);
		*bytes = g_memdup2(zmq_msg_data(&message), byte_count);
	}
	zmq_msg_close(&message);
	return byte_count;
}

struct keep_filter {
	int (*keep)(void *context, const char *address);
	void *context;
};

static gboolean is_unwanted(gpointer address, gpointer socket, gpointer context)
{
	const struct keep_filter *filter = context;

	(void)socket;
	return !filter->keep(filter->context, address);
}

void link_forget(struct link *link,
		 int (*keep)(void *context, const char *address), void *context)
{
	struct keep_filter filter = { keep, context };

	g_hash_table_foreach_remove(link->outbound, is_unwanted, &filter);
}
