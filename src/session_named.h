/**
 * Named sessions: the caller chooses a session's name instead of returning a token. A table row
 * records the version on which the first request with that name started, and all later requests
 * with the name use that version. See docs/design/sessions.md.
 */
#ifndef SESSION_NAMED_H
#define SESSION_NAMED_H

#include "platform_group.h"
#include "session.h"

#define SESSION_TABLE "session"

typedef struct SessionNamed SessionNamed;

/** Caches about cache_max rows, which never change; sessions in the cache continue through an
 *  outage of the table service. */
SessionNamed *session_named_new (PlatformGroup *group, size_t cache_max);
void session_named_free (SessionNamed *named);

/** Looks the session up in this VM's cache, without I/O; true if found. */
bool session_named_find (SessionNamed *named,
                         const char *team,
                         const char *name,
                         char version[SESSION_VERSION_MAX]);

/**
 * Starts the session on version, unless it was started before: then version receives that of its
 * first request. On failure the session's state is unknown and the request must not run, since
 * another VM may have started the session on another version.
 */
StatusCode session_named_start (SessionNamed *named,
                                const char *team,
                                const char *name,
                                char version[SESSION_VERSION_MAX],
                                Status *st);

#endif
