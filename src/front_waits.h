/**
 * Beliefs of how much longer than predicted from known work answers take to begin, by backend
 * server and rank (front_urgency): a front sees a small part of the requests at a server, and what
 * it can't see shows only in how late answers are. Learned from this front's own answers, silences
 * and rejections, and from those that other fronts tell. All beliefs age: that of a server moves to
 * the one over all servers of its service, and that one to none. Empty while answers begin as
 * predicted. No I/O.
 */
#ifndef FRONT_WAITS_H
#define FRONT_WAITS_H

#include "front_urgency.h"
#include <stdbool.h>
#include <stdint.h>

#define WAITS_ROWS_MAX   1024  /**< beliefs kept; the least recently changed is replaced */
#define WAITS_MAX_MS     60000 /**< longest wait that is believed; no caller waits as long */
#define WAITS_MIN_MS     100   /**< from which on a wait is worth a row and a message */
#define WAITS_AGE_MAX_MS 4000  /**< older samples are not taken in */
#define WAITS_TOLD_MAX   8     /**< samples kept to be told to other fronts */
/** Ranks of requests in the servers' queues. They run the first ranks first, so each has a wait of
 *  its own. */
#define WAITS_RANKS (URGENCY_RANK_MAX + 1)

typedef struct FrontWaits FrontWaits;

typedef struct
{
  double ms;       /**< by which an answer is expected to begin later than predicted */
  int64_t age_ms;  /**< of the latest sample; -1: there is none */
  bool is_told;    /**< by another front; false: by this one */
  bool is_general; /**< nothing is known of the server, only of its service */
} WaitBelief;

/** How an answer began, or how long it has not. */
typedef struct
{
  uint64_t server;  /**< FrontServer.hash */
  uint64_t service; /**< hash of the name */
  unsigned rank;
  uint32_t
      request;    /**< tells requests apart: a later sample of one replaces the earlier; 0: none */
  double wait_ms; /**< measured less predicted without any belief; less than 0 counts as 0 */
  bool is_bound;  /**< the answer has not begun: the wait is at least this */
} WaitSample;

/** What is told of a sample. */
typedef struct
{
  uint64_t server;
  uint32_t request;
  uint32_t wait_ms;
  uint32_t rank;
  uint32_t age_ms; /**< when it is sent */
} WaitReport;

FrontWaits *front_waits_new (void);
void front_waits_free (FrontWaits *waits);
/** The nearest rank from 0, the first, to URGENCY_RANK_MAX. */
unsigned front_waits_rank (int64_t rank);
/** Takes in a sample of this front. False if its values are impossible. */
bool front_waits_add (FrontWaits *waits, const WaitSample *sample, int64_t now_ms);
/** The server turned a request away for lack of room: the sample's wait is ignored. */
bool front_waits_full (FrontWaits *waits, const WaitSample *sample, int64_t now_ms);
/** Takes in what another front tells of a server that this one knows. author: of its incarnation.
 *  False if its values are impossible, and nothing was taken in. */
bool
front_waits_told (FrontWaits *waits, const WaitReport *report, uint64_t author, int64_t now_ms);
/** Moves up to max samples that are worth telling to out; their number. */
unsigned front_waits_take (FrontWaits *waits, WaitReport *out, unsigned max, int64_t now_ms);
/** Belief over all servers of a service. waits NULL: none. */
WaitBelief
front_waits_general (const FrontWaits *waits, uint64_t service, unsigned rank, int64_t now_ms);
/** Belief of a server, or the general one of its service where nothing is known of the server. */
WaitBelief front_waits_of (const FrontWaits *waits,
                           uint64_t server,
                           unsigned rank,
                           const WaitBelief *general,
                           int64_t now_ms);
/** Removes beliefs that have aged out. */
void front_waits_expire (FrontWaits *waits, int64_t now_ms);
unsigned front_waits_count (const FrontWaits *waits);

#endif
