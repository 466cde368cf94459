/**
 * Session tokens: the version that a session started on, with a MAC, in a token that the caller
 * returns. No write is needed, and the session survives the loss of any VM and any outage.
 */
#ifndef SESSION_H
#define SESSION_H

#include <stdbool.h>
#include <stdint.h>

#define SESSION_TOKEN_MAX   512 /**< bytes with the final NUL */
#define SESSION_VERSION_MAX 64  /**< bytes of MODEL@VERSION with the final NUL */
#define SESSION_KEY_SIZE    32  /**< bytes */
/** Writes the token of a session of the team on version, "MODEL@VERSION". key is derived from the
 *  site key. */
void session_seal (const uint8_t key[SESSION_KEY_SIZE],
                   const char *team,
                   const char *version,
                   char out[SESSION_TOKEN_MAX]);
/** True if the token's MAC is valid for key and team; version receives "MODEL@VERSION". */
bool session_open (const uint8_t key[SESSION_KEY_SIZE],
                   const char *team,
                   const char *token,
                   char version[SESSION_VERSION_MAX]);
/** True if the text begins like a session token; otherwise it is a session name chosen by the
 *  caller. */
bool session_is_token (const char *text);

#endif
