/**
 * Internal interface shared by the front_request_*.c files.
 */
#ifndef FRONT_REQUEST_PRIVATE_H
#define FRONT_REQUEST_PRIVATE_H

#include "front_attempt.h"
#include "front_call.h"
#include "front_cascade.h"
#include "front_events.h"
#include "front_pace.h"
#include "front_peers.h"
#include "front_pick.h"
#include "front_request.h"

#define NO_MODEL       UINT32_MAX
#define MEDIA_TYPE_MAX 64 /* bytes; of a longer name the rest is ignored */

typedef struct RequestHedge RequestHedge;

struct FrontRequest
{
  struct cds_list_head node;
  Front *front;
  FrontConn *conn;
  FrontConfig *config; /* configuration that was current when the request arrived */
  const FrontRoute *route;
  const FrontTeam *team;
  FrontCall call;
  struct event *timer;
  int64_t arrived_ms;
  int64_t end_ms;       /* deadline for the final answer */
  uint64_t session;     /* session hash */
  uint64_t fingerprint; /* hash of team, target and body; identifies requests that crash servers */
  unsigned part_count;
  PartHash parts[PROMPT_PARTS_MAX]; /* of its prompt, which other requests may share */
  bool parts_reported; /* for one death: the next one under its retry is no evidence of its own */
  int64_t rank;        /* in servers' queues; 0 is first */
  bool is_behind;      /* ranked one behind, as its team is beyond its part */
  const char *service;
  char version[SERVER_TEXT_MAX];
  uint64_t version_hash; /* hash of the version the session is registered on; 0: none */
  uint32_t model;        /* index in the route's models; NO_MODEL: the caller's own choice */
  bool cascade_done;     /* no larger model will be tried */

  unsigned attempts;  /* attempts so far, except at unreachable servers */
  unsigned unreached; /* servers that could not be reached */
  unsigned tried_count;
  uint64_t tried[PICK_TRIED_MAX];
  /* Version and model of which a failure was last counted in a roll-out; 0: none was. */
  uint64_t failed_version;
  uint32_t failed_model;
  bool may_have_run; /* on an earlier attempt, so "not executed" can no longer be reported */

  /* From here to stream, but for relayed_ms and pause_ms: of the current attempt.
   * front_request_pair.c exchanges these with another attempt's. */
  FrontAttempt *attempt; /* NULL between attempts */
  FrontServer *server;   /* holds a reference */
  double predicted_ms;   /* from the start of the attempt until the answer begins */
  WaitBelief belief;     /* by how much later than predicted_ms the answer is expected */
  bool is_ordered;       /* the attempt is at a model engine, and front_is_contended */
  uint32_t wait_key;     /* tells the attempt apart in front_waits */
  double prompt_ms;      /* part of predicted_ms spent reading the prompt */
  int64_t prompt_tokens; /* prompt tokens that the server had to read, as far as known */
  bool loaded;           /* the attempt's server is loaded on purpose (front_canary) */
  double running_weight; /* what the attempt adds to the server's running_weight */
  double pending_ms;     /* what the attempt adds to the server's pending_ms */
  int64_t attempt_ms;    /* start of the current attempt */
  int64_t sent_ms;       /* the same, but restarted when the attempt has been silent for too long */
  int64_t checked_ms;    /* when it was last found too late to wait for, or sent */
  int64_t event_ms;      /* time of its last event */
  int64_t relayed_ms;    /* time of the last event relayed on any attempt; 0: none */
  int64_t pause_ms;      /* longest pause between two relayed events, over all attempts */
  bool relaying;         /* the attempt's answer is being relayed */
  bool has_begun;        /* part of the attempt's answer was relayed */
  bool counted;          /* the attempt was counted for or against its version */
  unsigned overdue_count; /* how often the attempt's answer was recorded as overdue */
  PaceStream stream;      /* the attempt's */

  bool is_waiting;     /* for room at a server */
  int64_t wait_end_ms; /* end of all its waits for room; 0: it never waited */
  struct cds_list_head waiting_node;

  bool is_returning;      /* waits to go back to a full server */
  bool return_now;        /* is sent with the current walk of the list */
  unsigned returns;       /* how often it went back */
  uint64_t return_to;     /* hash of that server, to which it is bound from then on; 0: none */
  int64_t return_ms;      /* when it goes back */
  int64_t turned_away_ms; /* when it first was; 0: never */
  struct cds_list_head returning_node;

  bool is_held;         /* until an engine is expected to have room */
  bool is_let_out;      /* goes out after it was held, or is sent again */
  bool is_pressed;      /* it has waited for half of its caller's time */
  unsigned turned_away; /* how often an engine did */
  uint64_t held_to;     /* hash of an engine where room became free; 0: none */
  int64_t held_due_ms;  /* not before, unless room becomes free */
  int64_t held_end_ms;  /* it is refused */
  HoldTurn turn;        /* as of when it was added to the list */
  struct cds_list_head held_node;

  bool is_handed_off;  /* the current attempt is at another front */
  PeerHandoff handoff; /* fronts that it was handed to */

  bool head_sent;                 /* the head of a streamed answer was sent to the caller */
  int head_status;                /* its status */
  char head_type[MEDIA_TYPE_MAX]; /* its media type; empty: none was named */
  FrontEvents events;
  int64_t first_ms; /* from arrival to the first byte relayed; -1: none yet */

  RequestHedge *hedge; /* NULL: no copy is considered */
};

/* front_request_rank.c */
/* Sets the rank from the route, the team and what the team has sent lately. */
void request_set_rank (FrontRequest *request);
/* Ranks a request that has little time left with the first of its team: behind others, some would
 * never be served. */
void request_raise_rank (FrontRequest *request, int64_t now_ms);

/* front_request_query.c */
/* Empty: none. */
Span request_model_name (const FrontRequest *request, uint32_t model);
/* What the request asks of the choice of a server. version NULL: any. */
PickQuery request_pick_query (const FrontRequest *request, uint32_t model, const char *version);
/* Predicts the times of a request sent to this model now. */
CascadeForecast request_forecast (const FrontRequest *request, uint32_t model);
/* Learns the engine's speed from an answer that began first_ms after the attempt. */
void request_learn_speed (FrontRequest *request, double first_ms, int64_t now_ms);

/* front_request_send.c */
/* Chooses a server and sends the request there; gives up if there is none. May free the request. */
void request_send (FrontRequest *request);
/* True if a server may get the request now, besides the current attempt. */
bool request_has_server (const FrontRequest *request);
/* False if no server may get the request that it was not sent to; otherwise sets the milliseconds
 * until its answer would begin at the best one. */
bool request_other_server (const FrontRequest *request, double *first_ms);
/* Ends the request's attempts, if there are any, and releases their servers. */
void request_drop_attempt (FrontRequest *request);
/* The same for the current attempt alone. */
void request_release_attempt (FrontRequest *request);
/* Chooses the server of a copy besides the current attempt. */
PickAnswer request_pick_copy (const FrontRequest *request, PickQuery *query);
/* Starts a copy there as the current attempt, of which there must be none. False if no connection
 * can be started; the attempt is then to be released. */
bool request_send_copy (FrontRequest *request, const PickQuery *query, const PickAnswer *pick);
/* Callbacks of the current attempt. */
extern const AttemptCallbacks request_attempt_callbacks;

/* front_request_timer.c */
/* Sets the timer to the end of the request, or to when the attempt counts as silent if earlier. */
void request_arm_timer (FrontRequest *request);

/* front_request_cut.c */
/* Handles the loss of the attempt's connection or of its server. May free the request. */
void request_handle_cut (FrontRequest *request);

/* front_request.c */
/* True if servers die under the request, or under a part of its prompt. */
bool request_is_quarantined (const FrontRequest *request, int64_t now_ms);

/* front_request_retry.c; each of these may free the request. */
/* Handles a failed attempt: retries if that is allowed, otherwise gives up. */
void request_retry (FrontRequest *request, const char *reason, bool may_have_run);
/* Handles a server that could not be reached. */
void request_handle_unreachable (FrontRequest *request, const char *reason);
/* Handles a server that has been silent for too long. */
void request_handle_silence (FrontRequest *request);

/* Hash by which the request's service is told apart in front_reach. */
uint64_t request_service_hash (const FrontRequest *request);
/* A connection to the attempt's server was opened. */
void request_record_reached (FrontRequest *request);

/* front_request_waits.c: samples for front_waits, where front_is_contended. */
unsigned request_wait_rank (const FrontRequest *request);
/* The attempt's answer has begun. */
void request_wait_begun (const FrontRequest *request, int64_t now_ms);
/* The attempt's server turned the request away for lack of room. */
void request_wait_full (const FrontRequest *request, int64_t now_ms);
/* True if answers of the attempt's server are known to begin late, so that its times say nothing of
 * its speed. */
bool request_wait_is_believed (const FrontRequest *request, int64_t now_ms);

/* front_request_hedge.c */
/* The request was sent to a server. A copy is sent to another one when the answer is late. */
void request_hedge_begin (FrontRequest *request);
/* Learns from an answer that began first_ms after the attempt. */
void request_hedge_answered (FrontRequest *request, double first_ms);
void request_hedge_free (FrontRequest *request);

/* front_request_pair.c */
/* The current attempt has failed. If another one is running, drops the failed one and goes on with
 * the other; false if there is none. */
bool request_hedge_go_on (FrontRequest *request, const char *reason, bool may_have_run);
/* Ends the wait for a late answer, and the other attempt if there is one. */
void request_hedge_end (FrontRequest *request, const char *outcome);
/* True if the other attempt's server may have got the request. */
bool request_hedge_other_is_sent (const FrontRequest *request);
/* The other attempt, if there is one, has been silent for too long. */
void request_hedge_other_silent (FrontRequest *request, int64_t now_ms);
/* Drops an attempt of two whose server has restarted. */
void request_hedge_cut_restarted (FrontRequest *request);

/* front_request_wait.c */
/* Keeps the request until a server has room for it, or for a while. False if it would wait for too
 * long. */
bool request_wait_for_room (FrontRequest *request);
void request_stop_waiting (FrontRequest *request);
/* Refuses a request that has waited for too long. Frees it. */
void request_end_wait (FrontRequest *request);

/* front_request_overdue.c */
/* When the missing answer counts as overdue, or as overdue once more; INT64_MAX: never. */
int64_t request_overdue_ms (const FrontRequest *request);
/* Records for its server that the answer is overdue, if it is. */
void request_record_overdue (FrontRequest *request, int64_t now_ms);
/* Records for its server how long the answer took. */
void request_record_answer_time (FrontRequest *request, int64_t now_ms);
/* front_request_admit.c */
/* Refuses a request that was sent to no server yet, if even at the chosen one its answer would
 * begin after its caller has left. True if it was refused, and freed. */
bool request_refuse_hopeless (FrontRequest *request, const PickAnswer *pick, double begin_ms);

/* front_request_readmit.c */
/* Handles a server that turned the request away without running it: the request goes to another
 * one, or waits to go back if it may go to no further one, or is refused. May free it. */
void request_handle_full (FrontRequest *request);
void request_stop_returning (FrontRequest *request);

/* front_request_hold.c */
/* Holds a request that was not sent yet while engines turn requests away, or refuses it if its
 * turn would come too late. False if it is to be sent. May free it. */
bool request_hold_arrival (FrontRequest *request);
/* Holds a request that an engine turned away, or refuses it. False if it is none for an engine or
 * may not be held. May free it. */
bool request_hold_turned_away (FrontRequest *request);
void request_stop_hold (FrontRequest *request);
/* Refuses a request for which no room was found in time. Frees it. */
void request_end_hold (FrontRequest *request);
/* The attempt's answer has begun. */
void request_hold_begun (const FrontRequest *request, int64_t now_ms);
/* The attempt's answer is whole, or its caller leaves without it. */
void request_hold_ended (const FrontRequest *request, bool is_whole, int64_t now_ms);

/* front_request_handoff.c */
/* Hands the request to another front, as no server has room for it that this front may use. False
 * if there is none to ask. */
bool request_hand_off_for_room (FrontRequest *request);
/* Hands the request to another front if this one can't reach its servers, or refuses it if another
 * front handed it to this one. False if servers have to be tried. May free the request. */
bool request_hand_off (FrontRequest *request);
/* Handles another front that could not be reached. May free the request. */
void request_handle_front_unreachable (FrontRequest *request);

/* front_request_notice.c */
/* Records what the head of the answer says of its server, whatever becomes of the answer. */
void request_handle_head (FrontRequest *request);
/* Records the same of an answer that another front got. The caller of this front, which passes it
 * on, sees what it says: this front has to act on it as if it had asked the server itself. */
void request_handle_relayed_notices (const FrontRequest *request, const ReplyInfo *info);

/* front_request_relay.c */
/* False if the caller got the head of a stream and this answer's differs in status or media type:
 * only events can follow. */
bool request_can_go_on_with (const FrontRequest *request, const HttpReply *reply);
/* Evaluates what has arrived of the answer. May free the request. */
void request_handle_progress (FrontRequest *request);

/* front_request_evidence.c */
/* During a roll-out, counts the current attempt once for or against its version: how its answer
 * began, or that it has not begun yet. Another failure of the request on the same version doesn't
 * count, as some requests fail anywhere. */
void request_add_evidence (FrontRequest *request, bool failed, int64_t now_ms);
/* Counts the current attempt as one whose answer has not begun, if it is late. Callers leave sooner
 * the slower a version is, so without these its answers would look better than it is. */
void request_count_unanswered (FrontRequest *request);
/* Counts how fast the current attempt's stream goes on, once, when enough events were relayed. */
void request_add_pace (FrontRequest *request, int64_t now_ms);

/* front_request.c */
/* Answers with an error status, or breaks off the stream if one has begun. Frees the request. */
void request_refuse (FrontRequest *request, int status, const char *reason, int64_t retry_after_ms);
/* Sends the final answer of a request that is given up; its status tells whether the request may
 * have run. The retry-after time of a refusal is at least wait_ms. */
void request_give_up (FrontRequest *request, const char *reason, int64_t wait_ms);
void request_free (FrontRequest *request);

#endif
