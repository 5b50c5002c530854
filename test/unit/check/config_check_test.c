#include "platform/check/config_check.h"

#include "fleet/config.h"
#include "platform/config_codec.h"
#include "unit/test.h"

/* In these texts a single quote stands for a double one. */
#define DOCUMENT                                                               \
	"{'Version':'00000010','Services':{'reg':{'HealthPath':'/','MaxConns'" \
	":8,'ColdStartS':3,'ColdPerS':5.5}},'Routes':{'look':{'Host':"         \
	"'a.example','Prefix':'/look/','Kind':'idempotent','TimeoutMs':1200,"  \
	"'TargetLatencyMs':600,'Priority':2,'Service':'reg','MaxAttempts':2,"  \
	"'HomeRegions':['fyn','jyl']}},'Limits':{'MaxHeaderBytes':16384,"      \
	"'MaxBodyBytes':9,'HeaderTimeoutMs':3000,'IdleTimeoutMs':15000},"      \
	"'Tenants':{'dairy':{'ApiKeys':['SECRET1','SECRET2'],'Priority':1,"    \
	"'HomeRegions':['fyn'],'RatePerS':10,'Burst':30}}}"
#define OTHER_ROUTE(name, host, prefix, more)                                 \
	"{'Routes':{'" name "':{'Host':'" host "','Prefix':'" prefix          \
	"','Kind':'upload','TimeoutMs':90,'TargetLatencyMs':60,'MaxAttempts'" \
	":1," more "}}}"

struct example {
	const char *patch;    /* merged into the document */
	const char *expected; /* the only findings: severity, path, text */
};

static json_t *parse(const char *text)
{
	char **parts = g_strsplit(text, "'", -1);
	char *json = g_strjoinv("\"", parts);
	json_t *value = json_loads(json, JSON_DECODE_ANY, NULL);

	if (!value)
		g_error("not JSON: %s", json);
	g_free(json);
	g_strfreev(parts);
	return value;
}

static json_t *patched(const char *patch)
{
	json_t *document = parse(DOCUMENT);
	json_t *changes = parse(patch);

	json_object_update_recursive(document, changes);
	json_decref(changes);
	return document;
}

static char *findings_text(const struct findings *findings)
{
	GString *text = g_string_new(NULL);
	guint i;

	for (i = 0; i < findings->items->len; i++) {
		const struct finding *finding =
			g_ptr_array_index(findings->items, i);

		g_string_append_printf(text, "%s %s: %s\n",
				       finding_severity_name(finding->severity),
				       finding->path, finding->text);
	}
	return g_string_free(text, FALSE);
}

/* The check must report an error wherever entry VMs reject the document. */
static void assert_agrees_with_codec(json_t *document,
				     const struct findings *findings)
{
	struct config_problem problem;
	struct config *config = config_decode_json(document, &problem);

	if (!config && !findings->counts[FINDING_ERROR])
		g_error("accepted, but rejected by entry VMs: %s %s",
			problem.path, problem.text);
	config_unref(config);
}

static void assert_findings(json_t *document, json_t *in_force,
			    const char *expected)
{
	struct findings *findings = config_check(document, in_force);
	char *text = findings_text(findings);

	g_assert_cmpstr(text, ==, expected);
	g_assert_null(strstr(text, "SECRET"));
	assert_agrees_with_codec(document, findings);
	g_free(text);
	findings_free(findings);
}

static void run_examples(const struct example *examples, size_t count)
{
	json_t *document;
	size_t i;

	for (i = 0; i < count; i++) {
		g_test_message("%s", examples[i].patch);
		document = patched(examples[i].patch);
		assert_findings(document, NULL, examples[i].expected);
		json_decref(document);
	}
}

/* Guards against a check that accepts what entry VMs reject, stops at the first
 * fault, or shows a key. */
static void rejected_parts_are_named(void)
{
	static const struct example examples[] = {
		{ "{}", "" },
		{ "{'Routes':[]}",
		  "error : not a JSON object with Services and Routes\n" },
		{ "{'Version':'12'}",
		  "error Version: \"12\": version is not eight hexadecimal digits\n" },
		{ "{'Limits':{'MaxBodyBytes':0},'Routes':{'look':{'MaxAttempts':0}}}",
		  "error Limits.MaxBodyBytes: 0: the number is missing, invalid or zero\n"
		  "error Routes.look.MaxAttempts: 0: a route allows no attempt\n" },
		{ "{'Routes':{'look':{'Service':'none'}}}",
		  "error Routes.look.Service: \"none\": a route names an unknown service\n" },
		{ "{'Tenants':['SECRET']}", "error Tenants: not an object\n" },
		{ "{'Tenants':{'dairy':{'Burst':'SECRET'}}}",
		  "error Tenants.dairy.Burst: not a number from 0\n"
		  "warning Tenants.dairy.Burst: not a number, which is read as 0\n" },
		{ "{'Tenants':{'mill':{'ApiKeys':['SECRET2','k','SECRET2']}}}",
		  "error Tenants.mill.ApiKeys: keys that workspace \"dairy\" also has: 1\n" },
		{ "{'Tenants':{'a\\nb':{'ApiKeys':['']}}}",
		  "error Tenants.-: the name is empty or contains control characters\n" },
		{ "{'Routes':{'look':{'HomeRegions':['fyn','jyl','fyn']}}}",
		  "error Routes.look.HomeRegions: region \"fyn\" is named twice\n" },
		{ "{'Tenants':{'dairy':{'HomeRegions':['fyn','fyn']}}}",
		  "error Tenants.dairy.HomeRegions: region \"fyn\" is named twice\n" },
	};

	run_examples(examples, ARRAY_SIZE(examples));
}

/* Guards against entries without effect that look as if they were in force. */
static void entries_that_never_match_are_found(void)
{
	static const struct example examples[] = {
		{ OTHER_ROUTE("more", "A.EXAMPLE", "/look/more/",
			      "'Service':'reg'"),
		  "" },
		{ OTHER_ROUTE("up", "a.example:80", "/up/", "'Service':'reg'"),
		  "error Routes.up.Host: \"a.example:80\" never matches: hosts "
		  "are compared without the port\n" },
		{ OTHER_ROUTE("up", "b", "/up/",
			      "'Split':[{'Service':'reg','Weight':1},"
			      "{'Service':'reg','Weight':0}]"),
		  "warning Routes.up.Split: service \"reg\" has weight 0 and "
		  "gets no request\n" },
		{ OTHER_ROUTE("up", "b", "/up/",
			      "'Service':'reg','HomeRegions':['als']"),
		  "warning Tenants.dairy.HomeRegions: has no region in common "
		  "with those of route \"up\": this workspace can never use the "
		  "route\n" },
		{ "{'Services':{'cal':{}}}",
		  "warning Services.cal: no route names this service\n" },
		{ "{'Tenants':{'mill':{}}}",
		  "warning Tenants.mill.ApiKeys: no key: no request can be of "
		  "this workspace\n" },
		{ "{'Routes':{'look':{'Sticki':true}},'Tenant':{'a':'SECRET'}}",
		  "warning Tenant: is not known and ignored\n"
		  "warning Routes.look.Sticki: is not known and ignored\n" },
		{ "{'Routes':{'look':{'HomeRegions':'fyn','Kind':'Download'}}}",
		  "warning Routes.look.HomeRegions: not a list, which is ignored\n"
		  "warning Routes.look.Kind: \"Download\" is no known kind: "
		  "requests run at most once\n" },
	};
	json_t *document = patched(
		OTHER_ROUTE("copy", "A.example", "/look/", "'Service':'reg'"));
	struct findings *findings = config_check(document, NULL);

	run_examples(examples, ARRAY_SIZE(examples));
	/* which of the two is used is not defined */
	g_assert_cmpuint(findings->counts[FINDING_ERROR], ==, 1);
	findings_free(findings);
	json_decref(document);
}

/* Guards against limits of which one makes another useless. */
static void contradicting_limits_are_found(void)
{
	static const struct example examples[] = {
		{ "{'Routes':{'look':{'TargetLatencyMs':1200}}}", "" },
		{ "{'Routes':{'look':{'TargetLatencyMs':1201}}}",
		  "warning Routes.look.TargetLatencyMs: 1201 ms is longer than "
		  "the timeout of 1200 ms\n" },
		{ "{'Routes':{'look':{'TargetLatencyMs':0}}}",
		  "warning Routes.look.TargetLatencyMs: 0 ms: requests are "
		  "refused whenever they would wait\n" },
		{ "{'Tenants':{'dairy':{'RatePerS':0}}}",
		  "warning Tenants.dairy.Burst: 30 with RatePerS 0: there is no "
		  "limit, so the burst has no effect\n" },
		{ "{'Tenants':{'dairy':{'RatePerS':249}}}", "" },
		{ "{'Tenants':{'dairy':{'RatePerS':0.008}}}",
		  "warning Tenants.dairy.Burst: 30 with RatePerS 0.008: the "
		  "burst is available again after over an hour only\n" },
		{ "{'Services':{'reg':{'ColdPerS':0,'ColdStartS':0}}}", "" },
		{ "{'Services':{'reg':{'ColdPerS':0}}}",
		  "warning Services.reg.ColdPerS: 0 requests/s for servers that "
		  "are cold for 3 s: they get only what the fleet's bounds add\n" },
	};

	run_examples(examples, ARRAY_SIZE(examples));
}

/* Guards against a version that entry VMs ignore, and against a difference that
 * is left out or shows a key. */
static void changes_are_listed(void)
{
	static const struct example examples[] = {
		{ "{}", "error Version: 00000010 is not newer than 00000010 in "
			"force: entry VMs ignore it\n" },
		{ "{'Version':'0000000f'}",
		  "error Version: 0000000f is not newer than 00000010 in force: "
		  "entry VMs ignore it\n"
		  "change Version: changed from \"00000010\" to \"0000000f\"\n" },
		{ "{'Version':'00000011','Tenants':{'dairy':{'ApiKeys':"
		  "['SECRET2','SECRET1']}}}",
		  "change Version: changed from \"00000010\" to \"00000011\"\n" },
		{ "{'Version':'00000011','Routes':{'look':{'TimeoutMs':1300,"
		  "'Sticky':true,'HomeRegions':['fyn']}}}",
		  "change Version: changed from \"00000010\" to \"00000011\"\n"
		  "change Routes.look.TimeoutMs: changed from 1200 to 1300\n"
		  "change Routes.look.HomeRegions[jyl]: removed: \"jyl\"\n"
		  "change Routes.look.Sticky: added: true\n" },
	};
	json_t *in_force = parse(DOCUMENT);
	json_t *document;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(examples); i++) {
		document = patched(examples[i].patch);
		assert_findings(document, in_force, examples[i].expected);
		json_decref(document);
	}
	json_decref(in_force);
}

/* Guards against keys in changes, also where their field is mistyped. */
static void changed_keys_are_not_shown(void)
{
	static const char *const patches[] = {
		"{'Tenants':{'dairy':{'ApiKeys':['SECRET1','SECRET3']}}}",
		"{'Tenants':{'dairy':{'ApiKeys':{'SECRET1':'SECRET'}}}}",
		"{'Tenants':{'dairy':{'ApiKey':['SECRET3']}}}",
		"{'Tenants':{'dairy':'SECRET'}}",
		"{'Tenants':{'mill':{'ApiKeys':['SECRET3']}}}",
		"{'Tenants':['SECRET']}",
		"{'Tenant':{'mill':['SECRET']}}",
		"{'Routes':{'look':{'ApiKeys':['SECRET']}}}",
	};
	json_t *in_force = parse(DOCUMENT);
	struct findings *findings;
	json_t *document;
	char *text;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(patches); i++) {
		document = patched(patches[i]);
		findings = config_check(document, in_force);
		text = findings_text(findings);
		g_assert_cmpuint(findings->counts[FINDING_CHANGE], >, 0);
		g_assert_null(strstr(text, "SECRET"));
		assert_agrees_with_codec(document, findings);
		g_free(text);
		findings_free(findings);
		json_decref(document);
	}
	json_decref(in_force);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("config_check", rejected_parts_are_named);
	ADD_TEST("config_check", entries_that_never_match_are_found);
	ADD_TEST("config_check", contradicting_limits_are_found);
	ADD_TEST("config_check", changes_are_listed);
	ADD_TEST("config_check", changed_keys_are_not_shown);
	return g_test_run();
}
