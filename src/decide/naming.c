#include "decide/naming.h"

struct naming naming_choose(const struct naming_counts *counts)
{
	struct naming naming = { 0 };

	naming.cut_off = !counts->all_sound;
	if (naming.cut_off)
		naming.other_regions = !counts->region;
	else
		naming.other_regions = !counts->region_sound ||
				       2 * counts->region_sound < counts->region;
	return naming;
}
