/**
 * Backend servers that say how many requests they can turn away in a second, for want of room,
 * without falling over. Each front keeps to its share of that number; they don't ask each other. No
 * I/O.
 */
#ifndef FRONT_BRITTLE_H
#define FRONT_BRITTLE_H

#include "front_share.h"

typedef struct
{
  bool is_named;    /**< the server's latest known answer names a number */
  double per_s;     /**< requests per second that it can turn away, if is_named */
  int64_t heard_ms; /**< arrival of the last answer that named it */
  double window;    /**< requests of this front that may be in progress there, if is_named; 0: not
                       known yet */
} ServerBrittle;

/** An answer names a number. True if that is news. */
bool server_brittle_named (ServerBrittle *brittle, double per_s, int64_t now_ms);
/** The answer to a request that was sent at sent_ms names none. True if that ends one. */
bool server_brittle_absent (ServerBrittle *brittle, int64_t sent_ms);
/** The server took a request of this front. */
void server_brittle_accepted (ServerBrittle *brittle);
/** The server turned a request away while so many of this front's were in progress there, this one
 *  included. */
void server_brittle_turned_away (ServerBrittle *brittle, unsigned running);
/** True if one more request, beside those in progress, would probably be turned away. */
bool server_brittle_is_full (const ServerBrittle *brittle, unsigned running);
/** Milliseconds for which this front leaves the server alone after it turned a request away; 0: it
 *  names no number. */
int64_t server_brittle_rest_ms (const ServerBrittle *brittle, const FrontShare *share);

#endif
