#ifndef PEER_MEMBER_DEFS_H
#define PEER_MEMBER_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * An entry VM as others know it.
 */

#define MEMBER_NAME_BYTES 65
#define MEMBER_ADDRESS_BYTES 65

/** Flags that travel with a member. */
#define MEMBER_LEAVING 1U   /**< in a planned stop */
#define MEMBER_UNCLAIMED 2U /**< runs orders without claims: no store */
#define MEMBER_KNOWN_FLAGS 3U

enum member_state {
	MEMBER_LIVE,
	MEMBER_SUSPECT, /**< not heard of for a few seconds */
	MEMBER_DEAD,
};

struct member {
	char name[MEMBER_NAME_BYTES];
	char failure_domain[MEMBER_NAME_BYTES];
	char http_address[MEMBER_ADDRESS_BYTES];
	char peer_address[MEMBER_ADDRESS_BYTES];
	uint64_t name_hash;
	uint64_t incarnation; /**< start of the process, in ms since 1970 */
	uint64_t heartbeat;   /**< counts up while the process lives */
	uint64_t document_version;
	uint32_t flags;
	enum member_state state;
	int64_t heard_ms; /**< when the heartbeat last rose here */
};

/** Entry VMs of one document version in one failure domain. */
struct member_versions {
	uint64_t version;
	uint32_t count;
};

#define MEMBER_VERSIONS_MAX 8

#endif
