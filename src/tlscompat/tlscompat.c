#include <openssl/ssl.h>

/**
 * @file
 * CivetWeb finds OpenSSL's functions by name at run time, and asks for one
 * under the name that it had before OpenSSL 3. This library is found in place
 * of OpenSSL's, which it brings along, and adds the old name.
 */

#undef SSL_get_peer_certificate

/* the name is not ours to choose */
X509 *SSL_get_peer_certificate(const SSL *ssl); /* NOLINT */

/** @return the peer's certificate, to be freed by the caller, or NULL. */
X509 *SSL_get_peer_certificate(const SSL *ssl) /* NOLINT */
{
	return SSL_get1_peer_certificate(ssl);
}
