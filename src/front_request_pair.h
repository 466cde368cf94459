/**
 * Interface between front_request_hedge.c and front_request_pair.c.
 */
#ifndef FRONT_REQUEST_PAIR_H
#define FRONT_REQUEST_PAIR_H

#include "front_hedge.h"
#include "front_request_private.h"

/* What belongs to an attempt; see FrontRequest. */
typedef struct
{
  FrontAttempt *attempt;
  FrontServer *server;
  double predicted_ms;
  double prompt_ms;
  int64_t prompt_tokens;
  bool loaded;
  double running_weight;
  double pending_ms;
  int64_t attempt_ms;
  int64_t sent_ms;
  int64_t event_ms;
  bool relaying;
  bool has_begun;
  bool counted;
  WaitBelief belief;
  bool is_ordered;
  uint32_t wait_key;
  int64_t checked_ms;
  unsigned overdue_count;
  PaceStream stream;
  bool is_copy;
  bool is_timed;        /* a lower bound of its time was learned */
  uint64_t time_number; /* of that */
} PairSide;

struct RequestHedge
{
  FrontRequest *request;
  struct event *due; /* when the answer counts as late */
  bool is_decided;   /* one copy is considered for each request */
  bool is_current_copy;
  bool is_timed;
  uint64_t time_number;
  PairSide other;  /* attempt NULL: there is none */
  double delay_ms; /* after which the copy was sent */
  char first[SERVER_TEXT_MAX];
  char copy[SERVER_TEXT_MAX];
  PickQuery query; /* of the copy's server */
  PickAnswer pick;
};

bool pair_has_other (const FrontRequest *request);
/* Makes the other attempt the current one, and the current one the other; one may be absent. */
void pair_exchange (FrontRequest *request);
HedgeKind pair_kind (const FrontRequest *request);
/* True if the head of the current attempt's answer has arrived. */
bool pair_has_begun (const FrontRequest *request);
/* Logs the end of a pair, of which the current attempt is kept. */
void
pair_log_end (const FrontRequest *request, const char *outcome, int64_t lost_ms, int64_t gained_ms);

#endif
