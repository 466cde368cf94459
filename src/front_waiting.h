/**
 * Requests that wait for room at a brittle backend server.
 */
#ifndef FRONT_WAITING_H
#define FRONT_WAITING_H

#include <event2/event.h>
#include <stdint.h>
#include <urcu/list.h>

#define WAITING_SERVICES_MAX 8

typedef struct Front Front;

/** How often this front's requests free room at a service's brittle servers. */
typedef struct
{
  uint64_t service; /**< hash of the name; 0: unused */
  int64_t freed_ms; /**< last time; 0: never */
  double ms;        /**< mean interval in milliseconds */
} RoomInterval;

typedef struct
{
  struct cds_list_head requests; /**< FrontRequest by waiting_node, the next to be sent first */
  struct event *timer;           /**< seeks room; NULL: never used */
  RoomInterval intervals[WAITING_SERVICES_MAX];
} FrontWaiting;

void front_waiting_init (FrontWaiting *waiting);
void front_waiting_clear (FrontWaiting *waiting);
/** A request of this front at a brittle server of the service has ended. Sends waiting requests
 *  soon, but not before it returns. */
void front_waiting_room_freed (Front *front, uint64_t service, int64_t now_ms);

#endif
