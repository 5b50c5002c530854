#include "peer/transport.h"

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
#define SEND_QUEUE_MESSAGES 64
#define KEY_BYTES 32
#define ZAP_FRAMES_MAX 16
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 2000
#define HANDSHAKE_TIMEOUT_MS 3000

struct peer_transport {
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

/* Frames of a request of the ZeroMQ Authentication Protocol (ZAP 1.0). */
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

static void parse_zap_frame(struct peer_transport *transport,
			    struct zap_request *request, int index,
			    zmq_msg_t *frame)
{
	size_t bytes = zmq_msg_size(frame);

	if (index == ZAP_REQUEST_ID && bytes <= sizeof(request->request_id)) {
		memcpy(request->request_id, zmq_msg_data(frame), bytes);
		request->request_id_bytes = bytes;
	}
	if (index == ZAP_KEY)
		request->allowed = bytes == KEY_BYTES &&
				   !memcmp(zmq_msg_data(frame),
					   transport->allowed_key, bytes);
}

/** @return false when the ZeroMQ context is shut down. */
static bool receive_zap_request(struct peer_transport *transport,
				struct zap_request *request)
{
	zmq_msg_t frame;
	bool more = true;
	int index;

	memset(request, 0, sizeof(*request));
	for (index = 0; more && index < ZAP_FRAMES_MAX; index++) {
		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, transport->zap, 0) < 0) {
			zmq_msg_close(&frame);
			return false;
		}
		parse_zap_frame(transport, request, index, &frame);
		more = zmq_msg_more(&frame);
		zmq_msg_close(&frame);
	}
	return true;
}

static void send_zap_response(struct peer_transport *transport,
			      const struct zap_request *request)
{
	const char *status = request->allowed ? "200" : "400";

	zmq_send(transport->zap, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(transport->zap, request->request_id, request->request_id_bytes,
		 ZMQ_SNDMORE);
	zmq_send(transport->zap, status, 3, ZMQ_SNDMORE);
	zmq_send(transport->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(transport->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(transport->zap, "", 0, 0);
}

/** Accepts peers that use the fleet's key, until the context is shut down. */
static void *run_zap_handler(void *context)
{
	struct peer_transport *transport = context;
	struct zap_request request;

	while (receive_zap_request(transport, &request)) {
		if (!request.allowed)
			log_warn("peer",
				 "refused a peer that does not use the fleet's key");
		send_zap_response(transport, &request);
	}
	zmq_close(transport->zap);
	return NULL;
}

static int start_zap_handler(struct peer_transport *transport)
{
	if (!zmq_z85_decode(transport->allowed_key, transport->public_key))
		return -1;
	transport->zap = zmq_socket(transport->zmq, ZMQ_REP);
	if (!transport->zap || zmq_bind(transport->zap, "inproc://zeromq.zap.01"))
		return -1;
	if (pthread_create(&transport->zap_thread, NULL, run_zap_handler,
			   transport))
		return -1;
	transport->zap_running = true;
	return 0;
}

static void set_int_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static int start_inbound(struct peer_transport *transport, const char *address)
{
	char endpoint[ENDPOINT_BYTES];
	int64_t message_max = WIRE_BYTES_MAX;

	transport->inbound = zmq_socket(transport->zmq, ZMQ_PULL);
	if (!transport->inbound)
		return -1;
	set_int_option(transport->inbound, ZMQ_LINGER, 0);
	zmq_setsockopt(transport->inbound, ZMQ_MAXMSGSIZE, &message_max,
		       sizeof(message_max));
	if (transport->secret_key) {
		set_int_option(transport->inbound, ZMQ_CURVE_SERVER, 1);
		if (zmq_setsockopt(transport->inbound, ZMQ_CURVE_SECRETKEY,
				   transport->secret_key,
				   strlen(transport->secret_key)))
			return -1;
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	return zmq_bind(transport->inbound, endpoint);
}

static void close_socket(gpointer socket)
{
	zmq_close(socket);
}

struct peer_transport *
peer_transport_open(const struct peer_transport_options *options)
{
	struct peer_transport *transport = calloc(1, sizeof(*transport));

	if (!transport)
		return NULL;
	transport->zmq = zmq_ctx_new();
	transport->outbound = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, close_socket);
	if (options->public_key[0]) {
		transport->public_key = strdup(options->public_key);
		transport->secret_key = strdup(options->secret_key);
		if (start_zap_handler(transport))
			goto fail;
	}
	if (start_inbound(transport, options->address))
		goto fail;
	return transport;
fail:
	fprintf(stderr, "peer: cannot listen address=%s error=\"%s\"\n",
		options->address, zmq_strerror(zmq_errno()));
	peer_transport_close(transport);
	return NULL;
}

void peer_transport_close(struct peer_transport *transport)
{
	if (!transport)
		return;
	g_hash_table_destroy(transport->outbound);
	if (transport->inbound)
		zmq_close(transport->inbound);
	zmq_ctx_shutdown(transport->zmq);
	if (transport->zap_running)
		pthread_join(transport->zap_thread, NULL);
	else if (transport->zap)
		zmq_close(transport->zap);
	zmq_ctx_term(transport->zmq);
	free(transport->public_key);
	free(transport->secret_key);
	free(transport);
}

static void *connect_to(struct peer_transport *transport, const char *address)
{
	char endpoint[ENDPOINT_BYTES];
	void *socket = zmq_socket(transport->zmq, ZMQ_PUSH);

	if (!socket)
		return NULL;
	set_int_option(socket, ZMQ_LINGER, 0);
	set_int_option(socket, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES);
	set_int_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int_option(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_int_option(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
	if (transport->secret_key) {
		zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, transport->public_key,
			       strlen(transport->public_key));
		zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, transport->public_key,
			       strlen(transport->public_key));
		zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, transport->secret_key,
			       strlen(transport->secret_key));
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (zmq_connect(socket, endpoint)) {
		zmq_close(socket);
		return NULL;
	}
	g_hash_table_insert(transport->outbound, g_strdup(address), socket);
	return socket;
}

int peer_transport_send(struct peer_transport *transport, const char *address,
			const void *bytes, size_t byte_count)
{
	void *socket = g_hash_table_lookup(transport->outbound, address);

	if (!socket)
		socket = connect_to(transport, address);
	if (!socket)
		return -1;
	return zmq_send(socket, bytes, byte_count, ZMQ_DONTWAIT) < 0 ? -1 : 0;
}

int64_t peer_transport_receive(struct peer_transport *transport,
			       uint32_t wait_ms, void **bytes)
{
	zmq_pollitem_t item = { transport->inbound, 0, ZMQ_POLLIN, 0 };
	int64_t byte_count = -1;
	zmq_msg_t message;

	if (zmq_poll(&item, 1, wait_ms) <= 0)
		return -1;
	zmq_msg_init(&message);
	if (zmq_msg_recv(&message, transport->inbound, ZMQ_DONTWAIT) >= 0) {
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

static gboolean is_unused(gpointer address, gpointer socket, gpointer context)
{
	const struct keep_filter *filter = context;

	(void)socket;
	return !filter->keep(filter->context, address);
}

void peer_transport_prune(struct peer_transport *transport,
			  int (*keep)(void *context, const char *address),
			  void *context)
{
	struct keep_filter filter = { keep, context };

	g_hash_table_foreach_remove(transport->outbound, is_unused, &filter);
}
