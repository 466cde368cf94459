/**
 * Internal interface shared by gate_filter.c and gate_filter_room.c.
 */
#ifndef GATE_FILTER_PRIVATE_H
#define GATE_FILTER_PRIVATE_H

#include "gate_filter.h"
#include "gate_framing.h"

struct GateFilter
{
  struct cds_list_head node;
  GateFilters *filters;
  struct bufferevent *caller;
  struct bufferevent *server; /* the end towards libmicrohttpd; NULL: closed */
  struct event *timer;
  GateLink *link;
  GateFraming framing;
  int64_t requests;  /* forwarded completely */
  bool mid_request;  /* the request in progress has been forwarded in part */
  bool answer_begun; /* the server has written since the request in progress began */
  bool lingering;    /* all output is sent; the caller's bytes are dropped */
  bool skip_linger;  /* close without lingering: the gate stops */
  size_t received;   /* bytes of the request in progress */
  size_t held;       /* bytes counted in the memory's use for requests */
  int64_t since_ms;  /* begin of the connection, or of the request that arrives, or last answer */
  int64_t taken_ms;  /* when the caller last took bytes of an answer, or had taken all */
};

/* gate_filter.c */
void filter_free (GateFilter *filter);
/* Answers the request that arrives, unless an answer to an earlier one is being written, and closes
 * the connection. May free the filter. */
void filter_refuse (GateFilter *filter, int reason, const char *step);

/* gate_filter_room.c */
/* Counts bytes that arrive for a request, and makes room for them. False: there is none, and the
 * request is to be refused. */
bool filter_take (GateFilter *filter, size_t bytes);
/* Gives back what the connection's answered requests held. */
void filter_give_answered (GateFilter *filter);
/* Gives back all that the connection holds. */
void filter_give (GateFilter *filter);

#endif
