#include "decide/naming.h"

struct naming naming_choose(const struct naming_counts *counts)
{
	const uint32_t half = (counts->region + 1) / 2;
	struct naming naming = { .cut_off = !counts->all_sound };
	uint32_t named = naming.cut_off ? counts->region : counts->region_sound;

	if (!named)
		naming.others_max = counts->all;
	else if (named < half)
		naming.others_max = half - named;
	return naming;
}
