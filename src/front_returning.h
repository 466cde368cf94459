/**
 * Requests that wait to go back to a full server that turned them away.
 */
#ifndef FRONT_RETURNING_H
#define FRONT_RETURNING_H

#include <event2/event.h>
#include <stdint.h>
#include <urcu/list.h>

typedef struct Front Front;

typedef struct
{
  struct cds_list_head requests; /**< FrontRequest by returning_node, the most urgent first */
  struct event *timer;           /**< sends them; NULL: never used */
} FrontReturning;

void front_returning_init (FrontReturning *returning);
void front_returning_clear (FrontReturning *returning);
/** A request of this front has ended at the server. Sends the first that waits for it soon, but not
 *  before it returns. */
void front_returning_room_freed (Front *front, uint64_t server, int64_t now_ms);

#endif
