/**
 * Which services' backend servers this front can reach. A front that is cut off from them still
 * hears callers, the store and other fronts, so only its own connections show it. No I/O.
 */
#ifndef FRONT_REACH_H
#define FRONT_REACH_H

#include <stdbool.h>
#include <stdint.h>

/** Services kept; of more, those used last. */
#define REACH_SERVICES_MAX 8
/** Different servers in a row to which no connection could be opened, after which the service
 * counts as lost; fewer if it has fewer. */
#define REACH_SERVERS_MIN 3

typedef enum
{
  REACH_UNKNOWN, /**< no connection was tried */
  REACH_GOOD,
  REACH_LOST, /**< no server can be reached */
} ReachState;

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
  ReachState state;
  unsigned failed; /**< entries of servers, since one was reached */
  uint64_t servers[REACH_SERVERS_MIN];
  int64_t reached_ms; /**< when the latest connection was opened; 0: none was */
  int64_t tried_ms;   /**< when a request last tried a server of a service that isn't good */
  int64_t used_ms;
} ReachService;

typedef struct
{
  ReachService services[REACH_SERVICES_MAX];
} FrontReach;

/** What other fronts are told of a service. */
typedef struct
{
  uint64_t service;
  bool is_reached; /**< it is good, and a connection was opened within the last moments */
  bool is_lost;
} ReachReport;

/** A connection could not be opened. True if that changes the state. */
bool front_reach_failed (FrontReach *reach, const ReachTry *attempt, int64_t now_ms);
/** A connection was opened. True if that ends a state other than good. */
bool front_reach_connected (FrontReach *reach, const ReachTry *attempt, int64_t now_ms);
ReachState front_reach_state (const FrontReach *reach, uint64_t service);
/** Lower-case name, as in logs. */
const char *front_reach_state_name (ReachState state);
/** True if a request should try a server of a service that isn't good, which it is expected to do.
 */
bool front_reach_should_try (FrontReach *reach, uint64_t service, int64_t now_ms);
/** Lists the services; returns their number, at most REACH_SERVICES_MAX. */
unsigned front_reach_report (const FrontReach *reach, ReachReport *out, int64_t now_ms);

#endif
