/**
 * News between fronts: who lives, who knows newer rows than we do, what the versions of a roll-out
 * answered, which requests crash servers. Datagrams to a few peers, several times a second; what is
 * too large for one is fetched from the peer that has it.
 */
#ifndef FRONT_PEERS_H
#define FRONT_PEERS_H

#include "front.h"

/** NULL if the port can't be bound. */
FrontPeers *front_peers_new (Front *front);
void front_peers_free (FrontPeers *peers);
/** Another front is, or was, at this address ("IP" or "IP:PORT"). */
void front_peers_add (FrontPeers *peers, const char *address);
/** Sends and fetches what is due. */
void front_peers_tick (FrontPeers *peers, int64_t now_ms);
/** Tells others of a request that is being sent to a server: how long its prompt is read there, and
 *  what it adds to the tokens of others (PickQuery.running_share). */
void front_peers_tell_work (FrontPeers *peers,
                            FrontServer *server,
                            double read_ms,
                            double share,
                            int64_t now_ms);
/** Where changes of a table are asked for: true and *address if another front of our failure domain
 *  follows it at the store and passes its changes on; false: we follow it at the store ourselves.
 */
bool front_peers_source (const FrontPeers *peers,
                         uint64_t table,
                         int64_t now_ms,
                         struct sockaddr_in *address);
/** Number of fronts known to live, this one included. */
unsigned front_peers_alive (const FrontPeers *peers, int64_t now_ms);
/** Place of this front, from 0, in an order of the living ones that differs from subject to
 *  subject: who is to act first. */
unsigned front_peers_rank (const FrontPeers *peers, uint64_t subject, int64_t now_ms);

#endif
