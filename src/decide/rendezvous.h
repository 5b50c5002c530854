#ifndef DECIDE_RENDEZVOUS_H
#define DECIDE_RENDEZVOUS_H

#include <stdint.h>

/**
 * @file
 * Weighted rendezvous hashing: each key goes to the node with the highest
 * score. The share of keys for which a node ranks first equals its share of all
 * weights, and a node that comes or goes, or changes its weight, moves only its
 * own keys.
 */

/** @return the score of a node for a key; 0 if the weight is 0. */
double rendezvous_score(uint64_t key_hash, uint64_t node_hash, double weight);

#endif
