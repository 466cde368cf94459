/**
 * Decides whether a request that a full server turned away, and that may go to no further server,
 * waits here to be sent to the same one again. No I/O.
 */
#ifndef FRONT_READMIT_H
#define FRONT_READMIT_H

#include <stdbool.h>
#include <stdint.h>

/** A request that was turned away. */
typedef struct
{
  bool may_have_run; /**< any attempt of it */
  unsigned returns;  /**< how often it was sent to the same server again */
  int64_t left_ms;   /**< until its caller's deadline */
  int64_t waited_ms; /**< since it was first turned away */
  double spread;     /**< random, 0 to 1: so that requests don't return together */
} ReadmitRequest;

/** A request that waits, in the order of the list. */
typedef struct
{
  uint64_t server; /**< hash of the server that it goes back to */
  int64_t due_ms;  /**< not before */
} ReadmitWaiting;

/** Milliseconds to wait before it is sent again, unless room is known before; 0: it is refused,
 * early enough for its caller to come back. */
int64_t front_readmit_wait_ms (const ReadmitRequest *request);
/** True if the request at this place of the list, the most urgent first, is to be sent: it is due,
 *  and the first of those that are due for its server. */
bool front_readmit_is_next (const ReadmitWaiting *list, unsigned place, int64_t now_ms);

#endif
