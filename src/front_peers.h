/**
 * Messages between fronts: which fronts are alive, which has newer rows, how the versions of a
 * roll-out perform, which requests crash servers. Datagrams go to a few peers several times a
 * second; what is too large for one is fetched from the peer that has it.
 */
#ifndef FRONT_PEERS_H
#define FRONT_PEERS_H

#include "front.h"
#include "front_confirm.h"
#include "front_store.h"

/** Milliseconds after the start in which a front knows too few others to count them, or to know its
 *  own rank among them. */
#define FRONT_SETTLED_MS 4000

/** NULL if the port can't be bound. */
FrontPeers *front_peers_new (Front *front);
void front_peers_free (FrontPeers *peers);
/** Adds a front that is, or was, at this address ("IP" or "IP:PORT"). */
void front_peers_add (FrontPeers *peers, const char *address);
/** Adds a front that is on the store's list, with the hash of its failure domain. It may be this
 *  front itself. False if the address is not valid. */
bool front_peers_add_registered (FrontPeers *peers, const char *address, uint32_t domain);
/** True if this front is on the store's list. */
bool front_peers_is_registered (const FrontPeers *peers);
void front_peers_set_registered (FrontPeers *peers, bool registered);
/** True if other fronts of the same failure domain are on the store's list. */
bool front_peers_has_registered (const FrontPeers *peers);
/** True if this front is one of those that register for their failure domain. */
bool front_peers_is_registrar (const FrontPeers *peers, int64_t now_ms);
/** Sends messages and fetches rows that are due. */
void front_peers_tick (FrontPeers *peers, int64_t now_ms);
/** Sends the next round of messages without waiting for its usual time. */
void front_peers_send_soon (FrontPeers *peers);
/** Reports to others a request that is being sent to a server: how long its prompt will be read
 *  there, and its weight as a running request (PickQuery.running_weight). */
void front_peers_send_work (FrontPeers *peers,
                            FrontServer *server,
                            double read_ms,
                            double running_weight,
                            int64_t now_ms);
/** Tells others that a brittle server turned a request away. */
void front_peers_send_full (FrontPeers *peers, const FrontServer *server, int64_t now_ms);
/** Tells others how long answers of model engines take to begin where they begin late. */
void front_peers_send_waits (FrontPeers *peers, int64_t now_ms);
/** Where changes of a table are polled for: true and *address if another front of the same failure
 *  domain polls the store for the table and relays its changes; false: this front polls the store
 *  itself. */
bool front_peers_ranked_source (const FrontPeers *peers,
                                uint64_t table,
                                int64_t now_ms,
                                struct sockaddr_in *address);
/** For a front without rows of the table: true and *address if another front of the same failure
 *  domain has them or, being registered, is about to get them. */
bool front_peers_informed_source (const FrontPeers *peers,
                                  uint64_t table,
                                  int64_t now_ms,
                                  struct sockaddr_in *address);
/** The same for a front that has the rows and polls for changes: only fronts that come before it by
 *  rank, so that no two wait for each other. */
bool front_peers_informed_source_before (const FrontPeers *peers,
                                         uint64_t table,
                                         int64_t now_ms,
                                         struct sockaddr_in *address);
/** The front at this address failed to answer; others are preferred for a while. */
void front_peers_mark_failed (FrontPeers *peers, const struct sockaddr_in *address, int64_t now_ms);
/** The front at this address refused a request that this one handed to it. */
void
front_peers_mark_refused (FrontPeers *peers, const struct sockaddr_in *address, int64_t now_ms);
/** Tells others that the store has shown that a table was complete here, by the store's clock. */
void front_peers_send_confirmation (FrontPeers *peers,
                                    StoreTable table,
                                    const Confirmation *confirmation,
                                    int64_t now_ms);
/** Fronts between this one and the first ones of its failure domain, which are told first what the
 * store says; 0: it is one of these. */
unsigned front_peers_tree_level (const FrontPeers *peers, int64_t now_ms);
/** True if no other front is known to be alive. */
bool front_peers_is_alone (const FrontPeers *peers, int64_t now_ms);
/** Number of living fronts of the site, this one included. Of other failure domains most are known
 *  by number only. */
unsigned front_peers_alive (const FrontPeers *peers, int64_t now_ms);
/** Estimates the number of fronts, for limits that hold for all of them together. */
void front_peers_fill_view (FrontPeers *peers, int64_t now_ms, FrontsView *view);
/** True if this front is one of a few, spread over the failure domains, that all fronts select for
 *  the subject. Fewer are selected where a failure domain has fewer fronts than its share. */
bool
front_peers_is_selected (const FrontPeers *peers, uint64_t subject, unsigned count, int64_t now_ms);
/** True if the address is another front's. */
bool front_peers_knows (const FrontPeers *peers, const struct sockaddr *from);
/** Other fronts that one request may be handed to. */
#define HANDOFFS_MAX 2

/** A request that this front can't serve. */
typedef struct
{
  uint64_t service; /**< hash */
  bool needs_room;  /**< this front reaches the service's servers, but may use none of them now */
  unsigned asked_count;
  struct sockaddr_in asked[HANDOFFS_MAX]; /**< fronts that it was handed to */
} PeerHandoff;

/** Another front that is alive and reaches the service, of the same failure domain if there is one.
 * If none is known to reach it, one of which that isn't known. NULL: none. The port is not set. */
const struct sockaddr_in *
front_peers_choose_handoff (FrontPeers *peers, const PeerHandoff *handoff, int64_t now_ms);
/** Rank of this front, from 0, among the living ones, in an order that differs from subject to
 *  subject. Decides which front acts first. */
unsigned front_peers_rank (const FrontPeers *peers, uint64_t subject, int64_t now_ms);

#endif
