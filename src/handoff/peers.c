#include "handoff/peers.h"

#include <stdlib.h>
#include <string.h>

#include "assign/assignment.h"
#include "base/log.h"
#include "request/pool.h"

struct peer {
	struct server *server;	  /* stands for the VM */
	int64_t avoided_until_ms; /* 0: its last request had a response */
};

struct peers {
	struct proxy *proxy;
	GHashTable *by_name;
	uint64_t generation; /* of the list of VMs that it was compared with */
};

static void peer_free(gpointer data)
{
	struct peer *peer = data;

	/* connections in use are not kept after their response */
	peer->server->listed = false;
	pool_discard_idle(peer->server);
	server_unref(peer->server);
	g_free(peer);
}

struct peers *peers_new(struct proxy *proxy)
{
	struct peers *peers = g_new0(struct peers, 1);

	peers->proxy = proxy;
	peers->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	return peers;
}

void peers_free(struct peers *peers)
{
	if (!peers)
		return;
	g_hash_table_destroy(peers->by_name);
	g_free(peers);
}

static bool has_same_address(const struct sockaddr_in *a,
			     const struct sockaddr_in *b)
{
	return a->sin_port == b->sin_port &&
	       a->sin_addr.s_addr == b->sin_addr.s_addr;
}

static bool is_registered(const struct vms *vms, const struct server *server)
{
	const GPtrArray *all = vms_all(vms);
	guint i;

	for (i = 0; i < all->len; i++) {
		const struct vm *vm = g_ptr_array_index(all, i);

		if (vm->has_handoff && !strcmp(vm->name, server->id))
			return has_same_address(&vm->handoff, &server->address);
	}
	return false;
}

/* Frees what is kept of VMs that left or have another address now. */
static void remove_unregistered(struct peers *peers)
{
	const struct vms *vms = peers->proxy->vms;
	GHashTableIter iter;
	gpointer value;

	if (peers->generation == vms_generation(vms))
		return;
	peers->generation = vms_generation(vms);
	g_hash_table_iter_init(&iter, peers->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!is_registered(vms, ((struct peer *)value)->server))
			g_hash_table_iter_remove(&iter);
}

static struct server *new_server(const struct vm *vm)
{
	struct server *server = g_new0(struct server, 1);

	server->references = 1;
	server->id = strdup(vm->name);
	server->failure_domain = vm->failure_domain;
	server->region = vm->region;
	server->address = vm->handoff;
	server->hash = vm->hash;
	server->listed = true;
	server->is_entry_vm = true;
	return server;
}

struct server *peers_get(struct peers *peers, const struct vm *vm)
{
	struct peer *peer;

	remove_unregistered(peers);
	peer = g_hash_table_lookup(peers->by_name, vm->name);
	if (!peer) {
		peer = g_new0(struct peer, 1);
		peer->server = new_server(vm);
		g_hash_table_insert(peers->by_name, peer->server->id, peer);
	}
	return peer->server;
}

void peers_record_failure(struct peers *peers, const struct server *server,
			  const char *reason)
{
	struct peer *peer = g_hash_table_lookup(peers->by_name, server->id);
	int64_t now_ms = proxy_now_ms(peers->proxy);

	if (!peer || peer->server != server)
		return; /* of an earlier address */
	if (peer->avoided_until_ms <= now_ms)
		log_info("handoff",
			 "VM takes no requests; placing them directly vm=%s "
			 "why=%s for_ms=%d",
			 server->id, reason, PEER_AVOID_MS);
	peer->avoided_until_ms = now_ms + PEER_AVOID_MS;
	assignment_avoid_vm(peers->proxy->assignment, server->id, PEER_AVOID_MS);
}

void peers_record_success(struct peers *peers, const struct server *server)
{
	struct peer *peer = g_hash_table_lookup(peers->by_name, server->id);

	if (!peer || peer->server != server || !peer->avoided_until_ms ||
	    peer->avoided_until_ms > proxy_now_ms(peers->proxy))
		return;
	peer->avoided_until_ms = 0;
	log_info("handoff", "VM takes requests again vm=%s", server->id);
}

json_t *peers_encode_status(const struct peers *peers)
{
	int64_t now_ms = proxy_now_ms(peers->proxy);
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;
		const struct server *server = peer->server;

		json_array_append_new(
			list,
			json_pack("{s:s,s:I,s:I,s:b}", "vm", server->id,
				  "in_progress",
				  (json_int_t)server->load.own_requests,
				  "connections",
				  (json_int_t)server->connection_count,
				  "avoided", peer->avoided_until_ms > now_ms));
	}
	return list;
}
