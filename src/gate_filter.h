/**
 * One caller's connection before libmicrohttpd: bytes go through it both ways, those of a malformed
 * request no further than here. All calls are made in the thread of its event loop.
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
  unsigned stalled_s; /**< seconds; a caller that takes nothing for so long is gone */
} GateFilterLimits;

/** Owns both ends and holds the link from here on. It frees itself when the connection ends. */
GateFilter *gate_filter_new (struct bufferevent *caller,
                             struct bufferevent *server,
                             GateLink *link,
                             const GateFilterLimits *limits,
                             struct cds_list_head *list);
/** What is written is still sent, but nobody's last bytes are awaited any more. */
void gate_filters_skip_linger (struct cds_list_head *list);
void gate_filters_free (struct cds_list_head *list);

#endif
