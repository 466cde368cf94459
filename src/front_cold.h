/**
 * Limits the requests that a front sends to a backend server that has started recently, as such a
 * server crashes under the load of a warm one. All fronts together keep to the limit without asking
 * each other: each has a share that follows from the number of fronts. No I/O.
 */
#ifndef FRONT_COLD_H
#define FRONT_COLD_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum requests per second from one front to one cold server. */
#define COLD_SLOTS_MAX 8

/** What a front knows of the number of fronts, itself included. */
typedef struct
{
  unsigned domain_fronts; /**< in this front's failure domain, also those that stopped sending
                             recently */
  unsigned registered; /**< of domain_fronts, those in the store's list, which takes only a few */
  unsigned fronts;     /**< in all failure domains */
  bool is_new;         /**< this front has just started, or gets no messages from others */
} ColdView;

/** The limit for one cold server of a service, and the number of fronts that share it. */
typedef struct
{
  double max_per_s;       /**< requests of all fronts in any second; 0: no limit */
  int64_t start_ms;       /**< how long a server stays cold */
  uint64_t self;          /**< hash of this VM's name, so that a restart doesn't change the share */
  unsigned domain_fronts; /**< in this front's failure domain, itself included */
  unsigned fronts;        /**< in all failure domains */
} ColdRule;

/** Times of the latest requests to a server. */
typedef struct
{
  int64_t sent_ms[COLD_SLOTS_MAX];
} ColdSends;

/** Sets the numbers of fronts, assuming at least as many as there may be besides the known ones. */
void cold_rule_set_fronts (ColdRule *rule, const ColdView *view);
/** Number of requests that this front may send to the server in any second. */
unsigned cold_slots (const ColdRule *rule, uint64_t server, bool is_same_domain);
/** Milliseconds until the next request may be sent; 0: now; INT64_MAX: never while it is cold. */
int64_t cold_wait_ms (const ColdSends *sends, unsigned slots, int64_t now_ms);
/** Records a request that is being sent. Until it is connected, its slot is held for as long as
 *  connecting may take. */
void cold_sent (ColdSends *sends, int64_t now_ms);
/** The request recorded at sent_ms reaches the server now. */
void cold_connected (ColdSends *sends, int64_t sent_ms, int64_t now_ms);

#endif
