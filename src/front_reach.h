/**
 * Which services' backend servers this front can reach at all. A front that is cut off from them
 * still hears callers, the store and other fronts, so only its own connections show it. No I/O.
 */
#ifndef FRONT_REACH_H
#define FRONT_REACH_H

#include <stdbool.h>
#include <stdint.h>

/** Services kept; of more, those used last. */
#define REACH_SERVICES_MAX 16
/** Different servers in a row to which no connection could be opened, after which the service
 * counts as lost; fewer if it has fewer. */
#define REACH_SERVERS_MIN 3

/** A connection that was opened, or could not be. */
typedef struct
{
  uint64_t service; /**< hash of the name, not 0 */
  uint64_t server;  /**< hash */
  unsigned servers; /**< that the service has, known only if the connection failed */
} ReachTry;

typedef struct
{
  uint64_t service; /**< 0: unused */
  unsigned failed;  /**< entries of servers */
  uint64_t servers[REACH_SERVERS_MIN];
  bool is_lost;
  int64_t tried_ms; /**< when a request last tried a server of the lost service */
  int64_t used_ms;
} ReachService;

typedef struct
{
  ReachService services[REACH_SERVICES_MAX];
} FrontReach;

/** A connection could not be opened. True if the service is lost with it. */
bool front_reach_failed (FrontReach *reach, const ReachTry *attempt, int64_t now_ms);
/** A connection was opened. True if the service was lost. */
bool front_reach_connected (FrontReach *reach, const ReachTry *attempt);
bool front_reach_is_lost (const FrontReach *reach, uint64_t service);
/** True if a request should try a server of the lost service again, which it is expected to do. */
bool front_reach_should_try (FrontReach *reach, uint64_t service, int64_t now_ms);
/** Lists lost services; returns their number, at most max. */
unsigned front_reach_lost (const FrontReach *reach, uint64_t *out, unsigned max);

#endif
