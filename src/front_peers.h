/**
 * News between fronts: who lives, who knows newer rows than we do, what the versions of a roll-out
 * answered, which requests crash servers. Datagrams to a few peers, several times a second; what is
 * too large for one is fetched from the peer that has it.
 */
#ifndef FRONT_PEERS_H
#define FRONT_PEERS_H

#include "front.h"

/** Milliseconds after the start in which a front knows too few others to count them, or to know its
 *  rank among them. */
#define FRONT_SETTLED_MS 4000

/** NULL if the port can't be bound. */
FrontPeers *front_peers_new (Front *front);
void front_peers_free (FrontPeers *peers);
/** Another front is, or was, at this address ("IP" or "IP:PORT"). */
void front_peers_add (FrontPeers *peers, const char *address);
/** The same for one that the store lists, with the hash of its failure domain. It may be ourselves.
 *  False if the address can't be read. */
bool front_peers_add_registered (FrontPeers *peers, const char *address, uint32_t domain);
/** True if we are on the store's list. */
bool front_peers_is_registered (const FrontPeers *peers);
void front_peers_set_registered (FrontPeers *peers);
/** True if other fronts of our failure domain are on the store's list. */
bool front_peers_has_registered (const FrontPeers *peers);
/** True if this front is one of those that register for their failure domain. */
bool front_peers_is_registrar (const FrontPeers *peers, int64_t now_ms);
/** Sends and fetches what is due. */
void front_peers_tick (FrontPeers *peers, int64_t now_ms);
/** Tells others of a request that is being sent to a server: how long its prompt is read there, and
 *  what it adds to the tokens of others (PickQuery.running_share). */
void front_peers_send_work (FrontPeers *peers,
                            FrontServer *server,
                            double read_ms,
                            double share,
                            int64_t now_ms);
/** Where changes of a table are asked for: true and *address if another front of our failure domain
 *  follows it at the store and passes its changes on; false: we follow it at the store ourselves.
 */
bool front_peers_ranked_source (const FrontPeers *peers,
                                uint64_t table,
                                int64_t now_ms,
                                struct sockaddr_in *address);
/** For a front that has no rows of the table: one of our failure domain that has them or, being
 *  registered, is about to. */
bool front_peers_informed_source (const FrontPeers *peers,
                                  uint64_t table,
                                  int64_t now_ms,
                                  struct sockaddr_in *address);
/** The same for one that has the rows and asks for their changes: only fronts that come before us
 * by rank, so that no two wait for each other. */
bool front_peers_informed_source_before (const FrontPeers *peers,
                                         uint64_t table,
                                         int64_t now_ms,
                                         struct sockaddr_in *address);
/** The front at this address gave no good answer; others are asked for a while. */
void front_peers_mark_failed (FrontPeers *peers, const struct sockaddr_in *address, int64_t now_ms);
/** Number of fronts known to live, this one included. */
unsigned front_peers_alive (const FrontPeers *peers, int64_t now_ms);
/** What is known of the number of fronts, for the bounds of cold servers. */
void front_peers_fill_cold_view (const FrontPeers *peers, int64_t now_ms, ColdView *view);
/** True if this front is one of a few, spread over the failure domains, on which all agree for the
 *  subject. Fewer act where a failure domain has fewer fronts than its part. */
bool
front_peers_is_selected (const FrontPeers *peers, uint64_t subject, unsigned few, int64_t now_ms);
/** Place of this front, from 0, in an order of the living ones that differs from subject to
 *  subject: who is to act first. */
unsigned front_peers_rank (const FrontPeers *peers, uint64_t subject, int64_t now_ms);

#endif
