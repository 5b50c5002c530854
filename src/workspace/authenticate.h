#ifndef WORKSPACE_AUTHENTICATE_H
#define WORKSPACE_AUTHENTICATE_H

#include "net/http_stream.h"
#include "workspace/keys.h"

/** @file Finds the workspace of a request by the key that it carries. */

struct authentication {
	const struct workspace *workspace; /**< NULL: none */
	struct workspace_key_hash key;	   /**< valid with a workspace */
	/** Why there is no workspace, for the log; NULL: there is one. */
	const char *problem;
	/** The request carries different keys, which no route allows. */
	bool is_ambiguous;
};

/**
 * @param config has workspaces.
 * @return the workspace, valid with the configuration, or why there is none.
 */
struct authentication authenticate(const struct config *config,
				   const struct http_head *head);

#endif
