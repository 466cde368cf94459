/**
 * Deaths of backend servers that gates observed, with the requests that were running there. They
 * are kept for the quarantine's retention period and sent to the other stewards and to this VM's
 * gate.
 */
#ifndef STEWARD_DEATHS_H
#define STEWARD_DEATHS_H

#include "choose_quarantine.h"
#include "lovage.h"
#include <pthread.h>

/** Deaths younger than this go into every message, as far as there is room. */
#define STEWARD_DEATHS_FRESH_MS INT64_C (20000)

/** Upper bound on the messages per second that broadcasts of deaths may send, on average: with n
 * other members broadcasts are at least n / 100 s apart. */
#define STEWARD_DEATHS_MESSAGES_PER_S_MAX 100

/** Limits on the deaths that one message may carry. */
typedef struct
{
  size_t count;
  size_t bytes; /**< of all deaths together; the first one is carried whatever its size */
  size_t older; /**< upper bound on the deaths that are no longer fresh */
} StewardDeathsLimits;

/** Limits of an answer to a heartbeat, of which one steward sends and receives 9 per second with
 * 360 members. A member that was cut off while a death was fresh receives it later, with the older
 * ones in turn. */
extern const StewardDeathsLimits steward_deaths_heartbeat_limits;
/** Limits of a grant, which stays on its VM. */
extern const StewardDeathsLimits steward_deaths_grant_limits;

typedef struct
{
  pthread_mutex_t lock;
  Quarantine *set;      /**< guarded by its own lock */
  size_t next_fresh;    /**< index of the first fresh death in the next message */
  size_t next_older;    /**< the same among the older deaths */
  int64_t broadcast_at; /**< time of the last broadcast; 0: never */
} StewardDeaths;

void steward_deaths_init (StewardDeaths *d);
void steward_deaths_clear (StewardDeaths *d);

/** Merges the deaths of a message; true if some were new. Merging the same death again changes
 * nothing. */
bool steward_deaths_merge (StewardDeaths *d, const rpc_death *deaths, size_t count, int64_t now_ms);
/** True if a broadcast to that many other members is allowed now; it then counts as sent. When a
 * whole pool dies, broadcasts are limited, and the heartbeats carry the remaining deaths. */
bool steward_deaths_may_broadcast (StewardDeaths *d, size_t others, int64_t now_ms);
/** Selects the deaths for a message, newest first. If they exceed the limits, the next message
 * continues with the others. Freed with xdr_free of the message. */
void steward_deaths_fill (StewardDeaths *d,
                          const StewardDeathsLimits *limits,
                          int64_t now_ms,
                          rpc_death **out,
                          u_int *count);

#endif
