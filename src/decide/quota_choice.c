#include "decide/quota_choice.h"

#include <stddef.h>
#include <xxhash.h>

/* Rendezvous hashing with one key: the quotas of all workspaces. */
static uint64_t rendezvous_score(const struct quota_candidate *vm)
{
	static const char key[] = "quota";
	uint64_t pair[2] = { vm->hash, XXH3_64bits(key, sizeof(key) - 1) };

	return XXH3_64bits(pair, sizeof(pair));
}

static bool precedes(const struct quota_candidate *a,
		     const struct quota_candidate *b)
{
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return rendezvous_score(a) > rendezvous_score(b);
}

struct quota_choice quota_choose(const struct quota_candidate *vms, uint32_t count)
{
	const struct quota_candidate *first = NULL;
	const struct quota_candidate *usable = NULL;
	struct quota_choice choice = { QUOTA_CHOICE_NONE, false };
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (!vms[i].takes_part)
			continue;
		if (!first || precedes(&vms[i], first))
			first = &vms[i];
		if (!vms[i].excluded && (!usable || precedes(&vms[i], usable)))
			usable = &vms[i];
	}
	if (!usable)
		usable = first;
	if (!usable)
		return choice;
	choice.index = (uint32_t)(usable - vms);
	choice.displaced = usable != first;
	return choice;
}
