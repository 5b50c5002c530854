#include "decide/recent_objects.h"

#include <string.h>

static uint32_t find(const struct recent_objects *objects, uint64_t object_hash)
{
	uint32_t i;

	for (i = 0; i < objects->count; i++)
		if (objects->hashes[i] == object_hash)
			break;
	return i;
}

void recent_objects_record(struct recent_objects *objects, uint64_t object_hash)
{
	uint32_t position = find(objects, object_hash);

	if (position == objects->count) {
		if (objects->count < RECENT_OBJECTS_MAX)
			objects->count++;
		else
			position--;
	}
	memmove(&objects->hashes[1], &objects->hashes[0],
		position * sizeof(objects->hashes[0]));
	objects->hashes[0] = object_hash;
}

void recent_objects_remove(struct recent_objects *objects, uint64_t object_hash)
{
	uint32_t position = find(objects, object_hash);

	if (position == objects->count)
		return;
	objects->count--;
	memmove(&objects->hashes[position], &objects->hashes[position + 1],
		(objects->count - position) * sizeof(objects->hashes[0]));
}

uint32_t recent_objects_position(const struct recent_objects *objects,
				 uint64_t object_hash)
{
	uint32_t position = find(objects, object_hash);

	return position < objects->count ? position : RECENT_OBJECTS_ABSENT;
}
