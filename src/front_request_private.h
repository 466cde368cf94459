/**
 * What the files of front_request_*.c share.
 */
#ifndef FRONT_REQUEST_PRIVATE_H
#define FRONT_REQUEST_PRIVATE_H

#include "front_attempt.h"
#include "front_call.h"
#include "front_cascade.h"
#include "front_events.h"
#include "front_pick.h"
#include "front_request.h"

#define NO_MODEL UINT32_MAX

struct FrontRequest
{
  struct cds_list_head node;
  Front *front;
  FrontConn *conn;
  FrontConfig *config; /* the snapshot under which it was taken */
  const FrontRoute *route;
  const FrontTeam *team;
  FrontCall call;
  struct event *timer;
  int64_t arrived_ms;
  int64_t end_ms;       /* the final answer is given by then */
  uint64_t session;     /* hash */
  uint64_t fingerprint; /* of what is run, for requests that crash servers */
  const char *service;
  char version[SERVER_TEXT_MAX];
  uint64_t version_hash; /* under which the session was begun; 0: it wasn't */
  uint32_t model;        /* index in the route's models; NO_MODEL: as the caller says */
  bool cascade_done;     /* no larger model is to be tried */

  unsigned attempts;  /* made so far, but for those that reached no server */
  unsigned unreached; /* those */
  unsigned tried_count;
  uint64_t tried[PICK_TRIED_MAX];
  bool may_have_run; /* an earlier attempt; "not run" can't be said any more */

  FrontAttempt *attempt; /* the present one */
  FrontServer *server;   /* of the attempt; referenced */
  double predicted_ms;
  double prompt_ms;      /* of that, reading the prompt */
  int64_t prompt_tokens; /* that the server had to read for it, as far as was known */
  double running_share;  /* what it adds to the tokens of others there */
  double pending_ms;     /* what this attempt added to the server's pending work */
  int64_t sent_ms;       /* when the attempt began */
  int64_t event_ms;      /* when its last event came */
  int64_t passed_ms;     /* when an event was last passed on, of any attempt; 0: none was */
  int64_t pause_ms;      /* longest between two events that were passed on, of all attempts */
  bool relaying;         /* the attempt's answer is being passed on */

  bool head_sent; /* the caller has got the head of a stream */
  FrontEvents events;
  int64_t first_ms; /* from arrival to the first byte passed on; -1: none yet */
};

/* front_request_send.c */
void request_send (FrontRequest *request);
void request_drop_attempt (FrontRequest *request);
/* What is predicted if a larger model is asked now. */
CascadeForecast request_forecast (const FrontRequest *request, uint32_t model);
void request_arm_timer (FrontRequest *request);
/* The attempt's answer has begun so long after the sending. */
void request_learn_speed (FrontRequest *request, double first_ms, int64_t now_ms);
/* The attempt's server has ended, or its connection has; the request may be freed. */
void request_cut (FrontRequest *request);

/* front_request_retry.c; after each of them the request may be freed. */
/* An attempt failed. Sends the request again if that is allowed, or gives it up. */
void request_retry (FrontRequest *request, const char *reason, bool may_have_run);
/* The server could not be reached. */
void request_unreached (FrontRequest *request, const char *reason);
/* The server has said nothing for longer than it should. */
void request_silent (FrontRequest *request);

/* front_request_relay.c */
void request_progress (FrontRequest *request);
/* During a roll-out, counts for or against the version how the present attempt has begun, or that
 * it has not until now. */
void request_add_evidence (FrontRequest *request, bool failed, int64_t now_ms);

/* front_request.c */
void request_refuse (FrontRequest *request, int status, const char *reason, int64_t retry_after_ms);
/* The last answer of a request that has been given up, by what may have happened to it. wait_ms:
 * its caller is told to stay away for so long at least. */
void request_give_up (FrontRequest *request, const char *reason, int64_t wait_ms);
void request_free (FrontRequest *request);

#endif
