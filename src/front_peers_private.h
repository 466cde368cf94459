/**
 * What the files of front_peers*.c share.
 */
#ifndef FRONT_PEERS_PRIVATE_H
#define FRONT_PEERS_PRIVATE_H

#include "front_channel.h"
#include "front_peer_message.h"
#include "front_peers.h"
#include "front_store.h"

#define PEERS_MAX 512 /**< fronts remembered; the target is 360 */

_Static_assert(PEER_TABLES == STORE_STATUS + 1, "a message tells of the first tables");

typedef struct
{
  struct sockaddr_in address;
  uint64_t incarnation; /* 0: it never told us anything itself */
  uint32_t domain;      /* hash; 0: not known */
  int64_t heard_ms;     /* by us or another front */
  int64_t alive_ms;     /* how long it counts as alive after that */
  int64_t sent_ms;
  int64_t
      request_failed_ms; /* when it gave no good answer to a question for rows; 0: it never did */
  bool is_registered;    /* it is on the store's list of fronts */
  int64_t newest[PEER_TABLES];
} Peer;

/* What is being fetched of one table; a peer that doesn't answer for one holds up no other. */
typedef struct
{
  FrontPeers *peers;
  StoreTable table;
  FrontChannel *channel; /* NULL: nothing */
  struct sockaddr_in source;
  int64_t asked_ms;
  int64_t since;  /* version whose successors are asked for; 0: all rows are */
  bool needs_all; /* the changes since our version are not known any more */
  bool done;      /* the channel is to be freed outside of its own call */
} Fetch;

struct FrontPeers
{
  Front *front;
  int fd;
  struct event *event;
  struct sockaddr_in own;
  uint32_t own_domain;
  uint16_t control_port; /* the same at all fronts; network order */
  unsigned count;
  Peer list[PEERS_MAX];
  unsigned next_peer;       /* where the next round of messages begins */
  bool is_sessions_turn;    /* this round tells of sessions in place of members */
  unsigned next_member;     /* where the next list of members begins */
  unsigned next_domain;     /* where the next list of failure domains' sums begins */
  double work_credit_bytes; /* that may be sent for notes of work */
  int64_t work_ms;          /* as of then */
  unsigned next_work;       /* where the next note of work begins */
  double remote_credit;     /* messages to other failure domains that may be sent, below one */
  int64_t round_ms;
  int64_t started_ms;
  bool is_registered;                  /* we are on the store's list of fronts */
  int64_t ahead_since_ms[PEER_TABLES]; /* since when some peer knows more; 0: none does */
  Fetch fetches[PEER_TABLES];
};

#define COLLECTORS 2 /* of each failure domain; one may have died just now */

/* Neighbours that hear from all of their failure domain in each round, so that its evidence is
 * together at one place within one round, however many fronts it has. */
typedef struct
{
  unsigned count; /* without ourselves */
  Peer *peers[COLLECTORS];
  bool is_self; /* we are one, too */
} Collectors;

/* front_peers_rank.c */
/* Place of a front in the order for a subject: the highest comes first. */
uint64_t peers_rank_hash (const struct sockaddr_in *address, uint64_t subject);
/* It lives, in our failure domain. */
bool peers_is_neighbour (const FrontPeers *peers, const Peer *peer, int64_t now_ms);
void peers_find_collectors (FrontPeers *peers, int64_t now_ms, Collectors *out);
/* Living fronts of our failure domain, ourselves included. */
unsigned peers_neighbour_count (const FrontPeers *peers, int64_t now_ms);

/* front_peers.c */
bool peer_is_alive (const Peer *peer, int64_t now_ms);
Peer *peer_find (FrontPeers *peers, uint32_t ip);
/* The entry of this address, made if there is none; NULL: it is our own, or there is no room. */
Peer *peer_add (FrontPeers *peers, uint32_t ip);

bool peers_is_large (const FrontPeers *peers);
/* True while a roll-out runs, whose evidence is told more often. */
bool peers_has_rollout (const FrontPeers *peers);

/* front_peers_receive.c: what another front has told. */
void
peers_receive_message (FrontPeers *peers, Peer *peer, const PeerMessage *message, int64_t now_ms);

/* front_peers_work.c: false if the bytes are no note of work. */
bool peers_receive_work (FrontPeers *peers, const void *data, size_t len, int64_t now_ms);

#define PEERS_PER_ROUND_MAX 16 /* that are told at once, at most */

/* front_peers_send.c: whom to tell in this round: the collectors of the own failure domain, other
 * living peers in turn, and now and then those that don't answer. Returns their number. */
unsigned peers_choose_recipients (FrontPeers *peers, Peer **chosen, int64_t now_ms);
/* Adds our own failure domain's sum, and some of the others in turn. */
void peers_domains_fill (FrontPeers *peers, FrontRollout *rollout, PeerRollout *out);
/* How many held sessions this round's message tells of, at most. */
unsigned peers_sessions_max (const FrontPeers *peers);
/* Leaves out of the message what doesn't fit; returns its bytes. */
size_t peers_encode (PeerMessage *message, void *out, size_t size);
/* Tells them how things stand here. */
void peers_send_round (FrontPeers *peers, int64_t now_ms);
/* True if a front that knows so many others is to be answered at once. */
bool peers_is_starting (const FrontPeers *peers, const Peer *peer, uint32_t alive, int64_t now_ms);
/* Answers a front that hardly knows anybody yet: tells of its own failure domain. */
void peers_answer_starting (FrontPeers *peers, Peer *peer, int64_t now_ms);

/* front_peers_fetch.c: gets rows that others know and we don't. */
void peers_fetch_missing (FrontPeers *peers, StoreTable table, int64_t now_ms);

#endif
