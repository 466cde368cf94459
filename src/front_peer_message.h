/**
 * Message that fronts send each other several times a second: one datagram, encoded by XDR.
 */
#ifndef FRONT_PEER_MESSAGE_H
#define FRONT_PEER_MESSAGE_H

#include "choose_quarantine.h"
#include "front_parts.h"
#include "front_rollouts.h"
#include "front_sessions.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PEER_MESSAGE_MAX  1400 /**< bytes; fits one packet of any network */
#define PEER_TABLES       3
#define PEER_ROLLOUTS_MAX 2 /**< running ones in one message; others follow in the next ones */
#define PEER_DEATHS_MAX   24
#define PEER_FLIGHTS_MAX  32 /**< requests of all these deaths together */
#define PEER_REFUSALS_MAX 8
#define PEER_RETURNS_MAX  4  /**< failure domains whose evacuation ended */
#define PEER_MEMBERS_MAX  96 /**< fronts in one message; others follow in the next ones */
#define PEER_COUNTS_MAX   6  /**< failure domains whose size is in one message; others follow */
#define PEER_SERVICES_MAX 8  /**< services of which a message tells which fronts reach them */
#define PEER_SESSIONS_MAX 64 /**< of one roll-out */

/** Failure domains' sums in one message; others follow in the next ones. */
#define PEER_DOMAINS_MAX 3
#define PEER_NEVER       UINT32_MAX
#define PEER_AGE_MAX_MS  UINT16_MAX

/** State of a roll-out at the sender. */
typedef struct
{
  uint64_t service;         /**< hash of the service's name */
  int64_t order;            /**< row version of the order */
  uint32_t old_busy_age_ms; /**< milliseconds since a request on the old version was last known to
                               run anywhere; PEER_NEVER: none was */
  uint32_t is_bad;
  FrontEvidence evidence; /**< of the sender alone */
  uint32_t domain_count;
  RolloutDomain domains[PEER_DOMAINS_MAX];
  uint32_t session_count;
  SessionUpdate sessions[PEER_SESSIONS_MAX]; /**< held on the old version */
} PeerRollout;

/** Which services a front reaches, as marks of places in PeerMessage.services. */
typedef struct
{
  uint8_t reached; /**< it opened a connection to a server within the last moments */
  uint8_t lost;    /**< it can reach no server */
} PeerReach;

/** Another front, as the sender knows it. */
typedef struct
{
  uint32_t ip;     /**< IPv4, host order */
  uint32_t domain; /**< hash of its failure domain */
  uint32_t age_ms; /**< since any front last received a message from it; at most PEER_AGE_MAX_MS */
  PeerReach reach; /**< at that time */
} PeerMember;

/** Number of living fronts of a failure domain other than the sender's. */
typedef struct
{
  uint32_t domain; /**< hash */
  uint32_t fronts;
  uint32_t age_ms; /**< since one of them counted it */
} PeerCount;

/** A failure domain whose evacuation ended recently. */
typedef struct
{
  uint32_t domain; /**< hash */
  uint32_t age_ms; /**< since the sender read that it ended */
  int64_t version; /**< of the removal of the order */
} PeerReturn;

typedef struct
{
  uint64_t incarnation;
  uint32_t domain;             /**< hash of the sender's failure domain */
  int64_t newest[PEER_TABLES]; /**< version of the newest change known of each table */
  uint32_t domain_fronts; /**< living fronts of the sender's failure domain that it knows, itself
                             included; if they are few the sender has just started, and receivers
                             answer with a list of members */
  uint32_t service_count;
  uint64_t services[PEER_SERVICES_MAX]; /**< hashes; 0: an unused place */
  PeerReach reach;                      /**< of the sender */
  uint32_t count_count;
  PeerCount counts[PEER_COUNTS_MAX];
  uint32_t rollout_count;
  PeerRollout rollouts[PEER_ROLLOUTS_MAX];
  uint32_t death_count;
  QuarantineDeath deaths[PEER_DEATHS_MAX]; /**< recent ones only */
  uint32_t refusal_count;
  QuarantineRefusal refusals[PEER_REFUSALS_MAX]; /**< requests that are refused at all fronts */
  uint32_t part_death_count;
  QuarantineDeath part_deaths[PARTS_REPORT_MAX]; /**< with parts of prompts that are suspected */
  uint32_t cleared_count;
  PartCleared cleared[PARTS_REPORT_MAX];
  uint32_t return_count;
  PeerReturn returns[PEER_RETURNS_MAX];
  uint32_t member_count;
  PeerMember members[PEER_MEMBERS_MAX];
} PeerMessage;

/** Returns the bytes written; 0 if they don't fit. */
size_t peer_message_encode (const PeerMessage *message, void *out, size_t size);
/** False if the data is not such a message. */
bool peer_message_decode (PeerMessage *message, const void *data, size_t len);

#endif
