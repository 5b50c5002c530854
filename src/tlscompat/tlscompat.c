#include <openssl/ssl.h>

/**
 * @file
 * CivetWeb loads OpenSSL's functions by name at run time and looks one of them
 * up under its name from before OpenSSL 3. This library is loaded in place of
 * OpenSSL's, which it links to, and adds the old name.
 */

#undef SSL_get_peer_certificate

/* CivetWeb requires this name */
X509 *SSL_get_peer_certificate(const SSL *ssl); /* NOLINT */

/** @return the peer's certificate, to be freed by the caller, or NULL. */
X509 *SSL_get_peer_certificate(const SSL *ssl) /* NOLINT */
{
	return SSL_get1_peer_certificate(ssl);
}
