/**
 * Keeps what this front sends and receives within its VM's network link. Beyond that all that
 * passes the link waits: requests, answers, and the opening of connections to callers and servers.
 * No I/O.
 *
 * Connections are let in at the rate at which the link carries what one request needs on average,
 * less the requests on open connections. Where they need more than that, none is let in until the
 * link has carried it.
 */
#ifndef FRONT_LINK_H
#define FRONT_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  LINK_IN,
  LINK_OUT,
  LINK_DIRECTIONS
} LinkDirection;

typedef struct
{
  double bytes_per_ms;             /**< that may pass each way; 0: no bound is known */
  double left[LINK_DIRECTIONS];    /**< bytes that may pass now; negative: more have passed */
  double carried[LINK_DIRECTIONS]; /**< bytes, and requests expected; both lose half of their */
  double requests;                 /**< weight in some seconds */
  double places;                   /**< connections that may be let in now */
  int64_t at_ms;                   /**< of all these */
} FrontLink;

/** Sets the rate of the link in Mbit/s, each way; 0: it isn't known. */
void front_link_set (FrontLink *link, double mbps, int64_t now_ms);
/** Counts bytes that were sent or received. */
void front_link_count (FrontLink *link, LinkDirection direction, size_t bytes);
/** True if a new connection may be let in, which counts it; false if it would wait. */
bool front_link_let_in (FrontLink *link, int64_t now_ms);
/** Counts a request on a connection that had carried another before. */
void front_link_count_request (FrontLink *link);
/** Bytes that have passed beyond the link's rate, the larger of both directions; 0: none. */
double front_link_excess (const FrontLink *link);

#endif
