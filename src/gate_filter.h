/**
 * Forwards the bytes of one caller's connection to and from libmicrohttpd, and answers malformed
 * requests itself so that libmicrohttpd never sees their end. All functions are called in the
 * thread of the connection's event loop.
 */
#ifndef GATE_FILTER_H
#define GATE_FILTER_H

#include "gate_link.h"
#include "gate_memory.h"
#include <event2/bufferevent.h>
#include <stddef.h>
#include <urcu/list.h>

typedef struct GateFilter GateFilter;

/** The connections of one event loop. */
typedef struct
{
  struct cds_list_head list; /**< GateFilter */
  unsigned count;
  GateMemory *memory; /**< counts what they hold */
} GateFilters;

typedef struct
{
  size_t head_max;    /**< bytes; longer heads are refused */
  unsigned stalled_s; /**< seconds; a caller that reads nothing for so long is disconnected */
} GateFilterLimits;

void gate_filters_init (GateFilters *filters, GateMemory *memory);
/** Takes ownership of both ends, takes a reference of the link, and adds itself to filters. Frees
 * itself when the connection ends. */
GateFilter *gate_filter_new (struct bufferevent *caller,
                             struct bufferevent *server,
                             GateLink *link,
                             const GateFilterLimits *limits,
                             GateFilters *filters);
/** For a stop: pending output is still sent, but connections no longer linger for the caller's last
 * bytes, and those that linger now are closed. */
void gate_filters_skip_linger (GateFilters *filters);
void gate_filters_free (GateFilters *filters);
/** Closes a connection for a new one: one whose request arrives too slowly, or of whose answer no
 * byte is taken, else the one that has been idle for longest. False: there is none. */
bool gate_filters_close_one (GateFilters *filters);
/** To be called several times a second: counts what was freed, and closes connections whose callers
 * take no byte of their answer while other answers wait for memory. */
void gate_filters_tick (GateFilters *filters);

#endif
