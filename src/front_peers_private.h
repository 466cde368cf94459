/**
 * Declarations shared by front_peers*.c.
 */
#ifndef FRONT_PEERS_PRIVATE_H
#define FRONT_PEERS_PRIVATE_H

#include "front_channel.h"
#include "front_domain.h"
#include "front_peer_message.h"
#include "front_peers.h"
#include "front_store.h"
#include "util_index.h"

_Static_assert(PEER_TABLES == STORE_STATUS + 1, "a message reports the first PEER_TABLES tables");

typedef struct
{
  IndexEntry by_ip;
  struct sockaddr_in address;
  uint64_t incarnation; /* 0: no message received from it */
  uint32_t domain;      /* hash; 0: not known */
  int64_t seen_ms;      /* last message from it that reached this front or one that reports it */
  int64_t alive_ms;     /* how long it counts as alive after that */
  int64_t sent_ms;      /* last message to it */
  int64_t request_failed_ms; /* when a request for rows to it failed; 0: none did */
  bool is_registered;        /* on the store's list of fronts */
  bool is_seed;              /* named by the settings */
  int64_t newest[PEER_TABLES];
  int64_t request_refused_ms; /* when it refused a request handed to it; 0: never */
  uint8_t reached; /* services that it reached when seen_ms was reported, as marks of places in
                      FrontPeers.services */
  uint8_t lost;    /* services whose servers it can't reach, likewise */
} Peer;

/* A service of which fronts tell each other whether they reach it. */
typedef struct
{
  uint64_t service; /* hash; 0: unused */
  int64_t used_ms;
} PeerService;

/* Places in FrontPeers.services of a message's services. */
typedef struct
{
  unsigned count;
  unsigned place[PEER_SERVICES_MAX];
} ServicePlaces;

typedef enum
{
  PEER_REACH_UNKNOWN,
  PEER_REACH_GOOD,
  PEER_REACH_LOST,
} PeerReachState;

/* A number of fronts, as reported. */
typedef struct
{
  unsigned fronts;
  int64_t at_ms; /* when one of them counted it; 0: never */
} FrontCount;

/* Another failure domain. */
typedef struct
{
  uint32_t domain;
  FrontCount now;
  FrontCount lately; /* also fronts that may only have stopped sending for a while */
} PeerDomain;

/* A fetch of one table's rows. Each table has its own, so that a peer that doesn't answer for one
 * delays no other. */
typedef struct
{
  FrontPeers *peers;
  StoreTable table;
  FrontChannel *channel; /* NULL: no fetch in progress */
  struct sockaddr_in source;
  int64_t asked_ms;
  bool reads_all;    /* all rows are requested, in parts; else changes */
  StoreAnswer parts; /* received so far of all rows */
  bool needs_all;    /* the peer no longer has the changes since this front's version */
  bool done;         /* the channel has to be freed, but not within its own callback */
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
  Peer **list;
  Index by_ip;
  FrontCount own_lately; /* fronts of the own failure domain, as others of it counted them */
  unsigned places;       /* living fronts of the site, when last counted */
  int64_t places_ms;     /* since when that number is the same */
  bool has_place;        /* that number was complete once since this front was alone */
  unsigned domain_count;
  PeerDomain domains[FRONT_DOMAINS_MAX];
  unsigned next_count;        /* first of these in the next message */
  unsigned ring_distance;     /* on the ring, of the next recipient; 0: none yet */
  uint64_t rounds;            /* of messages so far */
  bool is_sessions_turn;      /* this round's message lists sessions instead of members */
  unsigned next_member;       /* first peer of the own failure domain in the next message's list */
  unsigned next_other_member; /* the same for other failure domains */
  unsigned next_domain;       /* first domain in the next message's list of sums */
  unsigned next_rollout;      /* place of the first running roll-out in the next message */
  PeerService services[PEER_SERVICES_MAX];
  unsigned next_handoff;      /* first peer considered for the next request handed over */
  unsigned next_death;        /* turn of the next message's deaths and refusals */
  double work_credit_bytes;   /* bytes that may be spent on work messages */
  int64_t work_ms;            /* time at which work_credit_bytes was computed */
  double waits_credit_bytes;  /* the same for messages of waits */
  int64_t waits_ms;           /* time at which waits_credit_bytes was computed */
  int64_t waits_sent_ms;      /* the last of these messages */
  unsigned next_work;         /* first peer considered for the next work message */
  double other_domain_credit; /* fraction of a message to other failure domains, carried over from
                                 the last round */
  double other_probe_credit;  /* the same for messages to those not known to be alive */
  int64_t round_ms;           /* last round of messages */
  bool is_urgent;             /* the next round doesn't wait for its usual time */
  int64_t started_ms;
  bool is_registered;                   /* this front is on the store's list */
  int64_t lacked_version[PEER_TABLES];  /* version of a change that a peer knows and this front
                                           lacks */
  int64_t lacked_since_ms[PEER_TABLES]; /* since when it lacks that change; 0: it lacks none */
  int64_t confirm_sent_ms[PEER_TABLES]; /* time of the last confirmation sent, by the store's clock
                                         */
  Fetch fetches[PEER_TABLES];
};

#define COLLECTORS 2 /* of each failure domain; one may have just died */

/* Fronts that receive a message from all others of their failure domain in each round, so that the
 * domain's evidence is complete in one place within one round, however many fronts it has. */
typedef struct
{
  unsigned count; /* without this front */
  Peer *peers[COLLECTORS];
  bool is_self; /* this front is one as well */
} Collectors;

/* front_peers_rank.c */
/* Subject by which collectors are ranked. Where only some fronts of a domain are kept, those first
 * by this rank are, so that its collectors are known everywhere. */
#define COLLECTOR_SUBJECT 0x636f6c6cu
/* A collector of another failure domain, as far as this front knows: the first or second by rank.
 * NULL if there is none. */
Peer *
peers_find_other_collector (const FrontPeers *peers, uint32_t domain, bool second, int64_t now_ms);
/* Order of the fronts for a subject: the highest hash comes first. */
uint64_t peers_rank_hash (const struct sockaddr_in *address, uint64_t subject);
/* True if the peer is alive and in the same failure domain. */
bool peers_is_domain_peer (const FrontPeers *peers, const Peer *peer, int64_t now_ms);
void peers_find_collectors (FrontPeers *peers, int64_t now_ms, Collectors *out);

/* front_peers_source.c */
/* Milliseconds until a front whose request failed is asked again; it may be frozen for seconds. */
#define PEER_FAILED_RETRY_MS 3000
bool peer_has_failed (const Peer *peer, int64_t for_ms, int64_t now_ms);

/* front_peers_tree.c */
/* Fronts of each failure domain that follow a table at the store; the others ask one of these, or
 * one that asks them. If one of the two is frozen or cut off, the half of the domain that depends
 * on the other one receives a change at once and announces it to the rest. Each additional follower
 * costs one more call to the store for each change. */
#define TREE_ROOTS 2
/* Fronts that ask one front for changes. With 165 fronts in a failure domain that ask two
 * followers, these would send 9 Mbit/s while hundreds of servers register each second, and encode
 * for longer than the others wait. */
#define TREE_CHILDREN 12
/* Rank of the front that is above the one with this rank, which is no root. */
unsigned peers_tree_parent (unsigned rank);
/* Fronts between the one with this rank and the store, but one; 0: it is a root. */
unsigned peers_tree_level (unsigned rank);
/* The living fronts below this one, by the collectors' ranks. Returns their number. */
unsigned
peers_tree_children (const FrontPeers *peers, const Peer *out[TREE_CHILDREN], int64_t now_ms);

/* front_peers_confirm.c */
#define CONFIRM_RECIPIENTS_MAX (TREE_CHILDREN + COLLECTORS * (FRONT_DOMAINS_MAX + 1))
/* Fronts that a confirmation is sent to. is_own: this front has asked the store. */
unsigned peers_confirm_recipients (FrontPeers *peers,
                                   bool is_own,
                                   const Peer *out[CONFIRM_RECIPIENTS_MAX],
                                   int64_t now_ms);
/* False if the data is not a confirmation. */
bool peers_receive_confirmation (FrontPeers *peers, const void *data, size_t len, int64_t now_ms);

/* front_peers_table.c */
/* Fronts kept of the own failure domain: three times those of a domain at 2,000 fronts in six. */
#define DOMAIN_PEERS_MAX 1024
bool peer_is_alive (const Peer *peer, int64_t now_ms);
Peer *peer_find (const FrontPeers *peers, uint32_t ip);
/* The entry of this address, created if there is none. NULL if the address is this front's, or the
 * failure domain has enough others. domain 0: not known. */
Peer *peer_add (FrontPeers *peers, uint32_t ip, uint32_t domain, int64_t now_ms);
/* Removes those that have sent no message for minutes. */
void peers_forget (FrontPeers *peers, int64_t now_ms);
void peers_clear (FrontPeers *peers);

/* front_peers_domains.c */
/* The entry of another failure domain; NULL if there are too many. */
PeerDomain *peers_domain_get (FrontPeers *peers, uint32_t domain);
/* A front counted the living ones of its failure domain. */
void peers_domain_report (FrontPeers *peers, uint32_t domain, unsigned fronts, int64_t at_ms);
/* Living fronts of a failure domain of which this one knows the addresses, itself included. */
unsigned peers_known_alive (const FrontPeers *peers, uint32_t domain, int64_t now_ms);

/* front_peers.c */
bool peers_is_large (const FrontPeers *peers);
/* True if the next round of messages is due, which then begins. */
bool peers_begin_round (FrontPeers *peers, int64_t now_ms);
/* True while a roll-out runs, when messages are sent more often. */
bool peers_has_rollout (const FrontPeers *peers);

/* front_peers_reach.c */
void peers_reach_places (FrontPeers *peers,
                         const PeerMessage *message,
                         ServicePlaces *out,
                         int64_t now_ms);
/* Takes over what a message tells of the front. */
void peers_reach_receive (Peer *peer, const ServicePlaces *places, const PeerReach *report);
/* Adds the services, and which of them this front reaches. */
void peers_reach_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms);
PeerReachState
peers_reach_state (const FrontPeers *peers, const Peer *peer, uint64_t service, int64_t now_ms);

/* front_peers_receive.c: applies a message of the front at this address. */
void
peers_receive_message (FrontPeers *peers, uint32_t ip, const PeerMessage *message, int64_t now_ms);

/* front_peers_full.c: false if the data is not a message of a server that is full. */
bool peers_receive_full (FrontPeers *peers, const void *data, size_t len, int64_t now_ms);

/* front_peers_work.c */
#define WORK_HEADER_BYTES 28 /* UDP and IP headers */
/* True if bytes may be spent on messages that are sent at once. */
bool peers_may_send_work (FrontPeers *peers, int64_t now_ms);
/* Sends a message at once, to fronts of the own failure domain first. */
void peers_send_at_once (FrontPeers *peers, const void *data, size_t len, int64_t now_ms);
/* The same, but neither counted nor paid for by the credit of work messages. Returns the number of
 * recipients. */
unsigned peers_send_in_turn (FrontPeers *peers, const void *data, size_t len, int64_t now_ms);
/* front_peers_work.c: false if the data is not a work message. */
bool peers_receive_work (FrontPeers *peers, const void *data, size_t len, int64_t now_ms);

/* front_peers_waits.c: false if the data is not a message of waits. */
bool peers_receive_waits (FrontPeers *peers, const void *data, size_t len, int64_t now_ms);

#define PEERS_PER_ROUND_MAX 600 /* peers that a round's message is sent to, at most */

/* front_peers_send.c */
/* Chooses the peers of this round: the collectors of the own failure domain, other living peers in
 * turn, and at intervals those that don't answer. Returns their number. */
unsigned peers_choose_recipients (FrontPeers *peers, Peer **chosen, int64_t now_ms);
/* Sends this round's message. */
void peers_send_round (FrontPeers *peers, int64_t now_ms);
/* True if the peer has just started, as it knows few living fronts of its failure domain, and is
 * due an answer. */
bool peers_is_starting (const FrontPeers *peers,
                        const Peer *peer,
                        uint32_t domain_fronts,
                        int64_t now_ms);
/* Answers a front that has just started with the members of its failure domain. */
void peers_answer_starting (FrontPeers *peers, Peer *peer, int64_t now_ms);

/* front_peers_compose.c */
/* Held sessions in a message that also lists members. Every second message may list
 * PEER_SESSIONS_MAX sessions, then without members, as both don't fit. With 24 in each message,
 * each of 300 fronts lacked one in eight of 186 sessions after 4 s and moved it to the new version
 * before its end; with 64 in every second message it lacks less than one in sixty. */
#define SESSIONS_BESIDE_MEMBERS 24
/* Begins a message with all but the members. */
void peers_message_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms);
/* Adds the sum of this front's failure domain, and those of some others in turn. */
void peers_domains_fill (FrontPeers *peers, FrontRollout *rollout, PeerRollout *out);
/* Limit on the held sessions in this round's message. */
unsigned peers_sessions_max (const FrontPeers *peers);
/* Adds the numbers of fronts of some failure domains in turn, and the own one's. */
void peers_counts_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms);
/* Adds the running roll-outs, in turn if there are more than fit. */
void peers_rollouts_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms);
/* Adds recent deaths of servers and the requests that are refused for them. */
void peers_deaths_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms);
/* Adds deaths with the parts of prompts that are suspected of them, and parts that were cleared. */
void peers_parts_fill (FrontPeers *peers, PeerMessage *message, int64_t now_ms);
/* Lists living fronts in turn, most of them of the own failure domain. */
void peers_members_fill (FrontPeers *peers, PeerMessage *message, bool is_long, int64_t now_ms);
/* Lists living fronts of one failure domain, beginning at a random one. */
void peers_members_fill_domain (const FrontPeers *peers,
                                PeerMessage *message,
                                uint32_t domain,
                                int64_t now_ms);
/* Encodes the message and leaves out what doesn't fit; returns the bytes written. */
size_t peers_encode (PeerMessage *message, void *out, size_t size);

/* front_peers_fetch.c: fetches the table's rows from a peer if it is ahead for too long. */
void peers_fetch_missing (FrontPeers *peers, StoreTable table, int64_t now_ms);

#endif
