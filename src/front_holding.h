/**
 * Requests that wait at this front while the servers of their service turn requests away.
 */
#ifndef FRONT_HOLDING_H
#define FRONT_HOLDING_H

#include "front_hold.h"
#include <event2/event.h>
#include <urcu/list.h>

#define HOLDING_SERVICES_MAX 8  /**< whose pace is kept; the last one full is kept longest */
#define HOLDING_KINDS_MAX    32 /**< of requests, by route; those beyond need no time */

typedef struct Front Front;

typedef struct
{
  uint64_t service; /**< hash of the name; 0: unused */
  HoldPace pace;
} HoldingService;

typedef struct
{
  uint64_t route; /**< hash of the name; 0: unused */
  HoldNeed need;
} HoldingKind;

typedef struct
{
  struct cds_list_head requests; /**< FrontRequest by held_node, the most urgent first */
  unsigned count;
  struct event *timer; /**< sends them; NULL: never used */
  HoldingService services[HOLDING_SERVICES_MAX];
  HoldingKind kinds[HOLDING_KINDS_MAX];
} FrontHolding;

void front_holding_init (FrontHolding *holding);
void front_holding_clear (FrontHolding *holding);
/** The pace of a service, by the hash of its name. */
HoldPace *front_holding_pace (FrontHolding *holding, uint64_t service);
/** What requests of a route need, by the hash of its name. NULL: there are too many routes. */
HoldNeed *front_holding_need (FrontHolding *holding, uint64_t route);
/** A request of this front has ended at the server. Sends the first that may go there. */
void front_holding_room_freed (Front *front, uint64_t server, int64_t now_ms);

#endif
