#ifndef PEER_MEMBER_DEFS_H
#define PEER_MEMBER_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * The record of an entry VM in the membership table.
 */

#define MEMBER_NAME_BYTES 65
#define MEMBER_ADDRESS_BYTES 65

/** Flags of a member, sent with its heartbeat. */
#define MEMBER_LEAVING 1U   /**< in a graceful shutdown */
#define MEMBER_UNCLAIMED 2U /**< runs orders without claims: no store */
#define MEMBER_FLAGS_MASK 3U

enum member_state {
	MEMBER_LIVE,
	MEMBER_SUSPECT, /**< no heartbeat for a few seconds */
	MEMBER_DEAD,
};

struct member {
	char name[MEMBER_NAME_BYTES];
	char failure_domain[MEMBER_NAME_BYTES];
	char http_address[MEMBER_ADDRESS_BYTES];
	char peer_address[MEMBER_ADDRESS_BYTES];
	uint64_t name_hash;
	uint64_t incarnation; /**< start of the process, in ms since 1970 */
	uint64_t heartbeat;   /**< incremented while the process runs */
	uint64_t document_version;
	uint32_t flags;
	enum member_state state;
	int64_t last_heard_ms; /**< when `heartbeat` last increased here */
};

/** Number of entry VMs that use one document version. */
struct member_version_count {
	uint64_t version;
	uint32_t count;
};

#define MEMBER_VERSIONS_MAX 8

#endif
