#ifndef DECIDE_WARMTH_H
#define DECIDE_WARMTH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Which objects this entry VM has lately seen answered by which server: their
 * next requests run fast there. A table of fixed size; of two pairs that fall
 * on one place the later is kept. Pure.
 */

#define WARMTH_ENTRIES 4096
/** Time after which a server may have forgotten the object. */
#define WARMTH_MS 15000

struct warmth {
	struct {
		uint64_t pair;
		int64_t answered_ms;
	} entries[WARMTH_ENTRIES];
};

void warmth_note(struct warmth *warmth, uint64_t object_hash,
		 uint64_t server_hash, int64_t now_ms);
bool warmth_known(const struct warmth *warmth, uint64_t object_hash,
		  uint64_t server_hash, int64_t now_ms);

#endif
