/**
 * Forwards the bytes of one caller's connection to and from libmicrohttpd, and answers malformed
 * requests itself so that libmicrohttpd never sees their end. All functions are called in the
 * thread of the connection's event loop.
 */
#ifndef GATE_FILTER_H
#define GATE_FILTER_H

#include "gate_link.h"
#include <event2/bufferevent.h>
#include <stddef.h>
#include <urcu/list.h>

typedef struct GateFilter GateFilter;

typedef struct
{
  size_t head_max;    /**< bytes; longer heads are refused */
  unsigned stalled_s; /**< seconds; a caller that reads nothing for so long is disconnected */
} GateFilterLimits;

/** Takes ownership of both ends, takes a reference of the link, and adds itself to list. Frees
 * itself when the connection ends. */
GateFilter *gate_filter_new (struct bufferevent *caller,
                             struct bufferevent *server,
                             GateLink *link,
                             const GateFilterLimits *limits,
                             struct cds_list_head *list);
/** For a stop: pending output is still sent, but connections no longer linger for the caller's last
 * bytes, and those that linger now are closed. */
void gate_filters_skip_linger (struct cds_list_head *list);
void gate_filters_free (struct cds_list_head *list);

#endif
