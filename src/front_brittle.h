/**
 * Backend servers that say how many requests they can turn away in a second, for want of room,
 * without falling over. Fronts divide a server's room among themselves and keep to their parts, so
 * that it has to turn hardly any away. No I/O.
 */
#ifndef FRONT_BRITTLE_H
#define FRONT_BRITTLE_H

#include "front_share.h"

typedef struct
{
  bool is_named;    /**< the server's latest known answer names a number */
  double per_s;     /**< requests per second that it can turn away, if is_named */
  int64_t named_ms; /**< arrival of the first answer that named it since it last named none */
  int64_t heard_ms; /**< arrival of the last answer that named it */
  double window;    /**< requests of this front that may be in progress there, if is_named; 0: not
                       known yet */
  double room; /**< at room_ms, of all slots, the part that all fronts together may use; 0: all */
  int64_t room_ms;
  double refusals; /**< requests that it lately turned away, of all fronts as far as known, decayed;
                      at refused_ms */
  int64_t refused_ms;
} ServerBrittle;

/** What is known of the server besides. */
typedef struct
{
  uint64_t hash;
  unsigned slots;
  unsigned running; /**< requests of this front in progress there */
} BrittleServer;

/** An answer names a number. True if that is news. */
bool server_brittle_named (ServerBrittle *brittle, double per_s, int64_t now_ms);
/** The answer to a request that was sent at sent_ms names none. True if that ends one. */
bool server_brittle_absent (ServerBrittle *brittle, int64_t sent_ms);
/** The server took a request of this front. */
void server_brittle_accepted (ServerBrittle *brittle);
/** The server turned a request away while so many of this front's were in progress there, this one
 *  included. */
void server_brittle_turned_away (ServerBrittle *brittle, unsigned running, int64_t now_ms);
/** The server turned another front's request away. Returns the milliseconds for which this front
 *  leaves the server alone; 0: it names no number, or can turn some more away. */
int64_t server_brittle_told_full (ServerBrittle *brittle, int64_t now_ms);
/** True if one more request, beside those in progress, would probably be turned away, or is not
 *  this front's to send. */
bool server_brittle_is_full (const ServerBrittle *brittle,
                             const BrittleServer *server,
                             const FrontShare *share,
                             int64_t now_ms);
/** Milliseconds for which this front leaves the server alone after it turned a request away; 0: it
 *  names no number. */
int64_t server_brittle_rest_ms (const ServerBrittle *brittle, const FrontShare *share);

#endif
