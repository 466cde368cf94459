/**
 * How much a front may send to a backend server that has started lately: such a server crashes
 * under the load of a warm one. All fronts together keep its bound without asking each other, as
 * each has a part that follows from the number of fronts. No I/O.
 */
#ifndef FRONT_COLD_H
#define FRONT_COLD_H

#include <stdbool.h>
#include <stdint.h>

/** Requests that one front may send to one cold server in a second, at most. */
#define COLD_SLOTS_MAX 8

/** What a front knows of the others, ourselves counted. */
typedef struct
{
  unsigned domain_fronts; /**< of our failure domain, with those that fell silent lately */
  unsigned registered;    /**< of them, those on the store's list, which takes only a few */
  unsigned fronts;        /**< of all failure domains */
  bool is_new;            /**< it has just started, or hears nobody */
} ColdView;

/** What the fronts of a site may send to one cold server of a service. */
typedef struct
{
  double max_per_s;       /**< requests of all fronts in any second; 0: there is no bound */
  int64_t start_ms;       /**< how long a server stays cold */
  uint64_t self;          /**< hash of this VM's name, so that a restart changes no part */
  unsigned domain_fronts; /**< fronts of our failure domain, ourselves included */
  unsigned fronts;        /**< of all failure domains */
} ColdRule;

/** When the last requests were sent to a server. */
typedef struct
{
  int64_t sent_ms[COLD_SLOTS_MAX];
} ColdSends;

/** Sets the numbers of fronts: not below what there may be beside those that are known. */
void cold_rule_set_fronts (ColdRule *rule, const ColdView *view);
/** How many requests this front may have sent there in any second. is_same_domain: the server is in
 * our own failure domain. */
unsigned cold_slots (const ColdRule *rule, uint64_t server, bool is_same_domain);
/** Milliseconds until another request may be sent; 0: now; INT64_MAX: none while it is cold. */
int64_t cold_wait_ms (const ColdSends *sends, unsigned slots, int64_t now_ms);
/** A request is on its way: until it is connected, its slot is held for as long as that may take.
 */
void cold_sent (ColdSends *sends, int64_t now_ms);
/** The request that has been on its way since sent_ms reaches the server now. */
void cold_connected (ColdSends *sends, int64_t sent_ms, int64_t now_ms);

#endif
