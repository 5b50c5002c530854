#include "console/auth.h"

#include <crypt.h>
#include <string.h>

#include "base/log.h"
#include "http/http_server.h"

#define CHALLENGE \
	"WWW-Authenticate: Basic realm=\"auburnreach\", charset=\"UTF-8\"\r\n"
/* slows down password guessing, in addition to the cost of the hash */
#define FAILED_LOGIN_DELAY_US 300000

/** Compares texts in a time that does not reveal where they differ. */
static bool is_equal_constant_time(const char *a, const char *b)
{
	size_t bytes = strlen(a);
	unsigned char differs = bytes != strlen(b);
	size_t i;

	for (i = 0; i < bytes && b[i]; i++)
		differs |= (unsigned char)(a[i] ^ b[i]);
	return !differs;
}

static bool password_matches(const char *password, const char *hash)
{
	struct crypt_data data = { 0 };
	const char *computed = crypt_r(password, hash, &data);

	return computed && computed[0] != '*' &&
	       is_equal_constant_time(computed, hash);
}

static const char *find_operator(const struct console *console,
				 const char *name, const char *password)
{
	uint32_t i;

	for (i = 0; i < console->settings.operator_count; i++) {
		const struct console_operator *operator= &
			console->settings.operators[i];

		if (!strcmp(operator->name, name))
			return password_matches(password, operator->password_hash)
				?
				operator->name : NULL;
	}
	return NULL;
}

/** Checks "Basic base64(name:password)". @return the operator, or NULL. */
static const char *authenticate(const struct console *console, const char *header)
{
	const char *found = NULL;
	gsize bytes = 0;
	guchar *raw;
	char *text, *colon;

	if (!header || mg_strncasecmp(header, "Basic ", 6))
		return NULL;
	raw = g_base64_decode(header + 6, &bytes);
	text = g_strndup((const char *)raw, bytes);
	colon = strchr(text, ':');
	if (colon) {
		*colon = '\0';
		found = find_operator(console, text, colon + 1);
		if (!found)
			log_warn("console",
				 "refused a wrong name or password name=%.32s",
				 text);
	}
	g_free(text);
	g_free(raw);
	return found;
}

const char *auth_require_operator(const struct console *console,
				  struct mg_connection *connection)
{
	const char *header = mg_get_header(connection, "Authorization");
	const char *found = authenticate(console, header);

	if (found)
		return found;
	if (header)
		g_usleep(FAILED_LOGIN_DELAY_US);
	mg_disable_connection_keep_alive(connection);
	http_reply(connection, 401, "text/plain; charset=utf-8", CHALLENGE,
		   "an operator's name and password are needed\n", 43);
	return NULL;
}

char *auth_form_token(const struct console *console, const char *operator_name)
{
	return g_compute_hmac_for_string(G_CHECKSUM_SHA256,
					 (const guchar *)console->secret,
					 strlen(console->secret), operator_name,
					 -1);
}

/**
 * Checks the headers with which browsers report a request's origin. A request
 * without them passes.
 */
static bool is_same_origin(struct mg_connection *connection)
{
	const char *site = mg_get_header(connection, "Sec-Fetch-Site");
	const char *origin = mg_get_header(connection, "Origin");
	const char *host = mg_get_header(connection, "Host");
	const char *from;

	if (site && strcmp(site, "same-origin") != 0)
		return false;
	if (!origin)
		return true;
	from = strstr(origin, "://");
	return from && host && !strcmp(from + 3, host);
}

bool auth_is_own_form(const struct console *console,
		      struct mg_connection *connection,
		      const char *operator_name, const struct form *form)
{
	char *token = auth_form_token(console, operator_name);
	bool is_own = is_same_origin(connection) &&
		      is_equal_constant_time(token, form_get(form, "token"));

	g_free(token);
	if (!is_own)
		log_warn("console",
			 "refused a form from another origin operator=%s",
			 operator_name);
	return is_own;
}

char *auth_hash_password(const char *password)
{
	struct crypt_data data = { 0 };
	char salt[CRYPT_GENSALT_OUTPUT_SIZE];
	const char *hash;

	if (!crypt_gensalt_rn(NULL, 0, NULL, 0, salt, sizeof(salt)))
		return NULL;
	hash = crypt_r(password, salt, &data);
	return hash && hash[0] != '*' ? g_strdup(hash) : NULL;
}
