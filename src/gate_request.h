/**
 * One caller's request, from its headers to its end.
 */
#ifndef GATE_REQUEST_H
#define GATE_REQUEST_H

#include "bill.h"
#include "choose.h"
#include "claim.h"
#include "gate.h"
#include "gate_attempt.h"
#include "gate_refusal.h"
#include "util_buffer.h"
#include "util_id.h"
#include <json-c/json.h>
#include <microhttpd.h>

#define REQUEST_CALLER_MAX 128
#define REQUEST_KEY_MAX    128 /**< idempotency key */
/** A request that crashes the servers that run it takes down this many at most. */
#define REQUEST_LOST_MAX 2
/** In which other VMs hear that a server died: the request that was running there does not come
 * back before. */
#define REQUEST_DEATH_PROPAGATION_MS 3000
/** Tries of one stage that may end unsent, such as at servers that refuse the connection: each
 * costs a round trip. */
#define REQUEST_UNSENT_MAX  16
#define REQUEST_SESSION_MAX 64 /**< a caller's own name of a session */

typedef enum
{
  REQUEST_CHAT,
  REQUEST_SERVICE
} RequestKind;

/** How far the answer to the caller has come. */
typedef enum
{
  RELAY_OPEN,    /**< more pieces are to come */
  RELAY_CLOSING, /**< the last bytes are in out; then the proper end */
  RELAY_FAILING  /**< an error event is in out; then the connection is cut */
} RelayPhase;

typedef struct GateRequest
{
  Gate *gate;
  struct MHD_Connection *connection;
  int fd; /**< the caller's socket */
  char id[ID_SIZE];
  int64_t begun_ms; /**< boot-time clock: headers read */
  Refusal refusal;

  RequestKind kind;
  char *method; /**< NULL until the headers were read */
  char *path;   /**< as in the request line; services: what is sent to the backend server */
  const char *content_type; /**< of the body, as the caller said */
  Buffer body;
  struct json_object *json;
  bool stream; /**< the caller wants events */

  GateSnapshot *snapshot;
  unsigned team;
  char asked[BILL_NAME_MAX];
  char key[REQUEST_KEY_MAX + 1]; /**< idempotency key; empty: none */
  char caller[REQUEST_CALLER_MAX + 1];
  char session[SESSION_TOKEN_MAX]; /**< as given; empty: none */
  char session_version[SESSION_VERSION_MAX];
  bool session_named;      /**< a name of the caller's own, kept in a row */
  Idempotency idempotency; /**< as the caller's header says */
  bool idempotent;
  int64_t deadline_ms; /**< boot-time clock; 0: none */
  int service;         /**< index, or -1 */
  uint64_t prefix_hash;
  uint64_t caller_hash;
  uint64_t fingerprint; /**< of team and body; see choose_quarantine.h */
  ChoosePlan plan;
  int previous_version; /**< whose answer did not pass in this cascade; -1: none */
  bool rated;           /**< the present stage's answer is rated before it is passed on */
  bool sampled;         /**< the answer goes to the rating service after the caller has it */

  bool admitted;
  bool limited;           /**< holds a place by choose_limit */
  bool borrowed;          /**< beyond its team's fair part: engines take it after other work */
  int64_t limited_tokens; /**< that it was admitted for */
  bool claimed;
  Claim claim;
  BillRecord bill;
  bool billed;
  GateAttempt *attempt; /**< the one that answers, or is being tried */
  unsigned attempt_number;
  uint8_t *excluded;       /**< by server index: tried already */
  GateCancel cancel;       /**< answer to be ended at its engine when the caller has its refusal */
  unsigned stage_attempts; /**< of the present stage, sent */
  unsigned stage_unsent;   /**< of the present stage, that were not sent and cost no time */
  bool retry_granted;      /**< by the budget, for an attempt that is not sent yet */
  unsigned lost_answers;   /**< attempts whose server broke off the connection */
  bool server_died;        /**< the last server broke off its answer and refuses connections */
  bool may_have_run;       /**< some attempt may have run without an answer */

  int http_status; /**< of the answer */
  char answer_type[64];
  Buffer out;  /**< bytes for the caller */
  size_t sent; /**< of out */
  RelayPhase phase;
  Buffer kept;        /**< copy of the answer for the claim */
  bool kept_overflow; /**< it is too long to be kept */
} GateRequest;

/** uri is as the caller sent it: neither decoded nor without its query. */
GateRequest *gate_request_new (Gate *gate, struct MHD_Connection *connection, const char *uri);
/** Reads route, headers and team; false: refused. */
bool gate_request_read_head (GateRequest *r, const char *method);
/** Parses the body; false: refused. */
bool gate_request_read_body (GateRequest *r);
/** True if the caller has closed its side. */
bool gate_request_caller_left (const GateRequest *r);
/** True if its deadline has passed and it may be ended: one with a claim runs on, so that a re-send
 *  finds its answer. */
bool gate_request_past_deadline (const GateRequest *r);
/** True if it crashed backend servers before. */
bool gate_request_quarantined (const GateRequest *r);
/** A refusal after a server's death: its client is told a time in which all VMs have the news. */
void gate_request_refused_by_death (GateRequest *r);
const ConfigTeam *gate_request_team (const GateRequest *r);
/** Ends what is still open: an unfinished answer is cancelled and billed. */
void gate_request_free (GateRequest *r);

#endif
