#include "fleet/vms.h"

#include <stdlib.h>

#include "base/counter.h"
#include "unit/test.h"

static struct topology_domain domains[] = { { "fyn-a", "fyn" } };
static struct topology topology = { domains, 1 };

static const struct vm *put(struct vms *vms, const char *text)
{
	vms_put(vms, "e1", text, strlen(text));
	g_assert_cmpuint(vms_all(vms)->len, ==, 1);
	return g_ptr_array_index(vms_all(vms), 0);
}

static char *encode(const char *relay_address, bool cut_off)
{
	const struct vm_entry entry = {
		.address = "127.0.0.1:1",
		.failure_domain = "fyn-a",
		.relay_address = relay_address,
		.status_address = "",
		.cut_off = cut_off,
	};

	return vms_encode_entry(&entry);
}

static void entry_says_that_the_vm_is_cut_off(void)
{
	struct vms *vms = vms_new(&topology);
	char *sound = encode("127.0.0.1:2", false);
	char *cut_off = encode("127.0.0.1:2", true);

	g_assert_false(put(vms, sound)->cut_off);
	g_assert_cmpuint(vms_count_cut_off(vms), ==, 0);
	g_assert_true(put(vms, cut_off)->cut_off);
	g_assert_true(put(vms, cut_off)->has_relay);
	g_assert_cmpuint(vms_count_cut_off(vms), ==, 1);
	g_assert_false(put(vms, sound)->cut_off);
	free(sound);
	free(cut_off);
	vms_free(vms);
}

/* Builds of different ages run side by side during a release. */
static void entries_of_other_builds_are_read(void)
{
	struct vms *vms = vms_new(&topology);

	g_assert_false(put(vms, "{\"address\":\"127.0.0.1:1\","
				"\"failure_domain\":\"fyn-a\"}")
			       ->cut_off);
	g_assert_true(put(vms, "{\"address\":\"127.0.0.1:1\",\"later\":[1],"
			       "\"failure_domain\":\"fyn-a\",\"cut_off\":true}")
			      ->cut_off);
	vms_free(vms);
}

/* What another build's VM wrote cannot be read: the VM stays as it was known,
 * is counted each time, and can be read again later. */
static void unreadable_entry_does_not_remove_the_vm(void)
{
	static const char renamed[] = "{\"addr\":\"127.0.0.1:1\","
				      "\"build\":\"0123456789ab\"}";
	struct vms *vms = vms_new(&topology);
	char *text = encode("", false);
	const uint64_t before = counter_get(COUNTER_UNREADABLE_ENTRIES);

	put(vms, text);
	g_assert_cmpstr(put(vms, renamed)->address, ==, "127.0.0.1:1");
	put(vms, renamed);
	put(vms, "{\"build\":\"two\\nlines\"}");
	put(vms, "not JSON");
	g_assert_cmpuint(counter_get(COUNTER_UNREADABLE_ENTRIES), ==, before + 4);
	put(vms, text);
	vms_remove(vms, "e1");
	g_assert_cmpuint(vms_all(vms)->len, ==, 0);
	free(text);
	vms_free(vms);
}

/* A VM that is cut off from servers still reads for others, and counts. */
static void a_cut_off_vm_stays_a_member(void)
{
	struct vms *vms = vms_new(&topology);
	char *text = encode("127.0.0.1:2", true);

	put(vms, text);
	g_assert_nonnull(vms_select_relay(vms, g_intern_string("fyn-a"), 0));
	free(text);
	vms_free(vms);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("vms", entry_says_that_the_vm_is_cut_off);
	ADD_TEST("vms", entries_of_other_builds_are_read);
	ADD_TEST("vms", unreadable_entry_does_not_remove_the_vm);
	ADD_TEST("vms", a_cut_off_vm_stays_a_member);
	return g_test_run();
}
