/**
 * Limits the requests that a front sends to a backend server that has started recently, as such a
 * server crashes under the load of a warm one. All fronts together keep to the limit without asking
 * each other: each has a share that follows from the number of fronts. No I/O.
 */
#ifndef FRONT_COLD_H
#define FRONT_COLD_H

#include "front_share.h"

/** Maximum requests per second from one front to one cold server. */
#define COLD_SLOTS_MAX 8

/** Milliseconds for which a request holds its slot from its arrival at the server: a second, and
 *  what a busy server may read it late, so that it does not read the next one within that
 *  second. */
#define COLD_SLOT_MS 1050

/** The limit for one cold server of a service. */
typedef struct
{
  double max_per_s; /**< requests of all fronts in any second; 0: no limit */
  int64_t start_ms; /**< how long a server stays cold */
} ColdRule;

/** Times of the latest requests to a server. */
typedef struct
{
  int64_t sent_ms[COLD_SLOTS_MAX];
} ColdSends;

/** Number of requests that this front may send to the server in any second. */
unsigned
cold_slots (const ColdRule *rule, const FrontShare *share, uint64_t server, bool is_same_domain);
/** Milliseconds until the next request may be sent; 0: now; INT64_MAX: never while it is cold. */
int64_t cold_wait_ms (const ColdSends *sends, unsigned slots, int64_t now_ms);
/** Records a request that is being sent. Until it is connected, its slot is held for as long as
 *  connecting may take. */
void cold_sent (ColdSends *sends, int64_t now_ms);
/** The request recorded at sent_ms reaches the server now. */
void cold_connected (ColdSends *sends, int64_t sent_ms, int64_t now_ms);

#endif
