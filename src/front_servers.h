/**
 * The table of backend servers, fed by the platform's list. No I/O.
 */
#ifndef FRONT_SERVERS_H
#define FRONT_SERVERS_H

#include "front_server.h"

typedef struct FrontServers FrontServers;

/** failure_domain is our own. */
FrontServers *front_servers_new (const char *failure_domain);
void front_servers_free (FrontServers *servers);
/** Adds or updates an entry; false if its address can't be read. *changed tells whether anything
 *  but a heartbeat is new. A later start of a known id replaces the earlier one, with nothing that
 *  was believed of that; news of a start that is over changes nothing. */
bool
front_servers_set (FrontServers *servers, const ServerEntry *entry, int64_t now_ms, bool *changed);
/** The entry is gone from the list. If the store was away lately it may have lapsed though the
 *  server lives: then it is kept for grace_ms, in which a living server is listed again. */
void front_servers_remove (FrontServers *servers, const char *id, int64_t now_ms, int64_t grace_ms);
/** The operator wants the servers of a failure domain to get nothing, or takes that back. True if
 *  that is news. Servers that are listed later are bound by it, too. */
bool
front_servers_evacuate (FrontServers *servers, const char *domain, bool ordered, int64_t now_ms);
/** Removes what is still missing at the end of its grace. */
void front_servers_expire (FrontServers *servers, int64_t now_ms);
/** NULL if there is none. */
FrontServer *front_servers_find (FrontServers *servers, const char *id);
/** The list of FrontServer by node; entries with listed false are on their way out. */
struct cds_list_head *front_servers_list (FrontServers *servers);
unsigned front_servers_count (const FrontServers *servers);

/** An attempt holds the server while it uses it. */
void front_server_ref (FrontServer *server);
void front_server_unref (FrontServer *server);

#endif
