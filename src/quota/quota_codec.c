#include "quota/quota_codec.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Sums over the VMs' shares and counts stay finite. */
#define COUNT_MAX INT64_C(1000000000000000)

static json_t *encode_run(uint64_t run)
{
	char text[17];

	snprintf(text, sizeof(text), "%016" PRIx64, run);
	return json_string(text);
}

static uint64_t decode_run(json_t *value)
{
	const char *text = json_string_value(value);

	return text ? strtoull(text, NULL, 16) : 0;
}

json_t *quota_call_new(const struct quota_call_head *head)
{
	return json_pack("{s:s,s:o,s:o,s:b,s:{}}", "vm", head->vm, "run",
			 encode_run(head->run), "from", encode_run(head->from),
			 "displaced", head->displaced, "workspaces");
}

void quota_call_add(json_t *call, const char *workspace,
		    const struct quota_report *report)
{
	json_object_set_new(json_object_get(call, "workspaces"), workspace,
			    json_pack("[I,I,I,f]",
				      (json_int_t)report->admitted_total,
				      (json_int_t)report->admitted,
				      (json_int_t)report->offered, report->held));
}

json_t *quota_call_decode(json_t *call, struct quota_call_head *head)
{
	json_t *workspaces = json_object_get(call, "workspaces");

	head->vm = json_string_value(json_object_get(call, "vm"));
	head->run = decode_run(json_object_get(call, "run"));
	head->from = decode_run(json_object_get(call, "from"));
	head->displaced = json_is_true(json_object_get(call, "displaced"));
	if (!head->vm || !head->run || !json_is_object(workspaces))
		return NULL;
	return workspaces;
}

static bool decode_count(json_t *list, size_t index, uint64_t *count)
{
	json_t *value = json_array_get(list, index);
	json_int_t number = json_integer_value(value);

	*count = (uint64_t)number;
	return json_is_integer(value) && number >= 0 && number <= COUNT_MAX;
}

/* @return whether the list has a finite number there. */
static bool decode_number(json_t *list, size_t index, double *number)
{
	json_t *value = json_array_get(list, index);

	*number = json_number_value(value);
	return json_is_number(value) && isfinite(*number);
}

bool quota_call_decode_entry(json_t *entry, struct quota_report *report)
{
	memset(report, 0, sizeof(*report));
	if (!decode_count(entry, 0, &report->admitted_total) ||
	    !decode_count(entry, 1, &report->admitted) ||
	    !decode_count(entry, 2, &report->offered) ||
	    !decode_number(entry, 3, &report->held))
		return false;
	report->held = fmin(report->held, 1);
	return true;
}

json_t *quota_reply_new(uint64_t run)
{
	return json_pack("{s:o,s:{},s:{}}", "run", encode_run(run),
			 "workspaces", "limited");
}

void quota_reply_add(json_t *reply, const char *workspace,
		     const struct quota_grant *grant)
{
	json_object_set_new(json_object_get(reply, "workspaces"), workspace,
			    json_pack("[f,f,b,b]", grant->fraction, grant->share,
				      grant->near_limit, grant->substitute));
}

void quota_reply_add_limited(json_t *reply, const char *workspace, double fraction)
{
	json_object_set_new(json_object_get(reply, "limited"), workspace,
			    json_real(fraction));
}

bool quota_reply_decode(json_t *reply, uint64_t *run)
{
	*run = decode_run(json_object_get(reply, "run"));
	return *run && json_is_object(json_object_get(reply, "workspaces"));
}

bool quota_reply_decode_grant(json_t *reply, const char *workspace,
			      struct quota_grant *grant)
{
	json_t *entry =
		json_object_get(json_object_get(reply, "workspaces"), workspace);

	if (!decode_number(entry, 0, &grant->fraction) ||
	    !decode_number(entry, 1, &grant->share))
		return false;
	grant->fraction = fmin(fmax(grant->fraction, 0), 1);
	grant->share = fmin(fmax(grant->share, 0), 1);
	grant->near_limit = json_is_true(json_array_get(entry, 2));
	grant->substitute = json_is_true(json_array_get(entry, 3));
	return true;
}

double quota_reply_decode_limited(json_t *reply, const char *workspace)
{
	json_t *value =
		json_object_get(json_object_get(reply, "limited"), workspace);
	const double fraction = json_number_value(value);

	if (!json_is_number(value) || !isfinite(fraction))
		return 1;
	return fmin(fmax(fraction, 0), 1);
}
