/**
 * Deaths of backend servers that gates saw, with the requests that were running there: kept for as
 * long as a quarantine remembers them, and told to the other stewards and to this VM's gate.
 */
#ifndef STEWARD_DEATHS_H
#define STEWARD_DEATHS_H

#include "choose_quarantine.h"
#include "lovage.h"
#include <pthread.h>

/** Deaths younger than this are told in each message, as far as it has room. */
#define STEWARD_DEATHS_FRESH_MS INT64_C (20000)

/** Most members told of deaths at once, in a second. */
#define STEWARD_DEATHS_BROADCASTS_PER_S 100

/** What one message may carry. */
typedef struct
{
  size_t count;
  size_t bytes; /**< of all; one death is carried whatever its size */
  size_t older; /**< of those that are not fresh any more */
} StewardDeathsLimits;

/** Of an answer to a heartbeat: with 360 members one steward sends and receives 9 of them a second.
 *  One that was cut off while a death was fresh learns of it in turn with the older ones. */
extern const StewardDeathsLimits steward_deaths_heartbeat_limits;
/** Of a grant, which stays on its VM. */
extern const StewardDeathsLimits steward_deaths_grant_limits;

typedef struct
{
  pthread_mutex_t lock;
  Quarantine *set;   /**< has its own lock */
  size_t next_fresh; /**< where the next message's share begins */
  size_t next_older;
  int64_t broadcast_at; /**< when all members were last told at once; 0: never */
} StewardDeaths;

void steward_deaths_init (StewardDeaths *d);
void steward_deaths_clear (StewardDeaths *d);

/** Takes deaths of a message; true if some were news. The same news twice changes nothing. */
bool steward_deaths_merge (StewardDeaths *d, const rpc_death *deaths, size_t count, int64_t now_ms);
/** True if that many other members may be told at once, now. Where a whole pool dies they may not
 * be told again soon: the heartbeats carry what is left. */
bool steward_deaths_may_broadcast (StewardDeaths *d, size_t others, int64_t now_ms);
/** What to tell now, newest first; where a message has no room for all, the next goes on with the
 *  others. Freed with xdr_free of the message that it goes into. */
void steward_deaths_fill (StewardDeaths *d,
                          const StewardDeathsLimits *limits,
                          int64_t now_ms,
                          rpc_death **out,
                          u_int *count);

#endif
