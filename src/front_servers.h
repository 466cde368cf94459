/**
 * Table of the backend servers, filled from the platform's list. No I/O.
 */
#ifndef FRONT_SERVERS_H
#define FRONT_SERVERS_H

#include "front_evacuations.h"
#include "front_server.h"

typedef struct FrontServers FrontServers;

/** failure_domain is our own. */
FrontServers *front_servers_new (const char *failure_domain);
void front_servers_free (FrontServers *servers);
/** Adds or updates an entry; false if its address is invalid. *changed tells whether anything but
 *  the heartbeat is new. A later start of a known id replaces the earlier one and all that was
 *  known of it; a report of an earlier start changes nothing. */
bool
front_servers_set (FrontServers *servers, const ServerEntry *entry, int64_t now_ms, bool *changed);
/** Handles the removal of an entry from the list. If the store was unavailable recently, the entry
 *  may have expired although the server is alive: it is then kept for grace_ms, in which a live
 *  server is listed again. */
void front_servers_remove (FrontServers *servers, const char *id, int64_t now_ms, int64_t grace_ms);
/** Applies or withdraws the operator's order to send no work to the servers of a failure domain.
 *  True if that changes anything. Servers that are listed later are affected, too. version: of the
 *  order's row or its removal. */
bool front_servers_evacuate (FrontServers *servers,
                             const char *domain,
                             bool ordered,
                             int64_t version,
                             int64_t now_ms);
/** The removal of an order that is in force was read, but does not count yet. Only other fronts are
 *  told of it: one without the order would take the servers for warm. */
void front_servers_evacuation_may_end (FrontServers *servers,
                                       const char *domain,
                                       int64_t version,
                                       int64_t now_ms);
/** The evacuation of a failure domain ended, as this front knows at second hand. True if it did not
 *  know it. */
bool
front_servers_evacuation_ended (FrontServers *servers, const EvacuationEnd *end, int64_t now_ms);
/** Copies up to max ends of evacuations that other fronts are to be told of; their number. */
unsigned front_servers_evacuation_ends (const FrontServers *servers,
                                        EvacuationEnd *out,
                                        unsigned max,
                                        int64_t now_ms);
/** The record of this start: its entry may have expired and come back since a request was sent, and
 *  is another record then. */
FrontServer *front_servers_current (FrontServer *server);
/** The server says in an answer that it leaves, which ends its work for good: the list may tell it
 *  late, or as ready once more. True if no answer said so before. */
bool front_servers_said_leaving (FrontServer *server);
/** The server names a number in an answer: see front_brittle.h. True if that is news. */
bool front_servers_brittle_named (FrontServer *server, double per_s, int64_t now_ms);
/** The answer to a request that was sent at sent_ms names none. True if that ends one. */
bool front_servers_brittle_absent (FrontServer *server, int64_t sent_ms);
/** Removes the servers whose grace period has ended. */
void front_servers_expire (FrontServers *servers, int64_t now_ms);
/** NULL if it is not listed. */
FrontServer *front_servers_find (FrontServers *servers, const char *id);
/** The server with this FrontServer.hash, the listed one if there is one; NULL: there is none. */
FrontServer *front_servers_find_hash (FrontServers *servers, uint64_t hash);
/** All servers, linked by FrontServer.node; those with listed false are only waiting to be
 *  freed. */
struct cds_list_head *front_servers_list (FrontServers *servers);
unsigned front_servers_count (const FrontServers *servers);

/** An attempt holds a reference while it uses the server. */
void front_server_ref (FrontServer *server);
void front_server_unref (FrontServer *server);

#endif
