/**
 * One caller's request, from the arrival of its headers until it is freed.
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

#define REQUEST_CALLER_MAX 128 /**< bytes */
#define REQUEST_KEY_MAX    128 /**< bytes of an idempotency key */
/** Backend servers that may break off their answers to one request before it is refused: a request
 * that crashes each server that runs it takes down this many at most. */
#define REQUEST_LOST_MAX 2
/** Time until the other VMs have the report of a server's death. A caller whose request was running
 * there gets at least this retry-after time. */
#define REQUEST_DEATH_PROPAGATION_MS 3000
/** Attempts of one stage that may end without the request having been sent, for example because a
 * server refuses the connection. Bounded because each costs a round trip. */
#define REQUEST_UNSENT_MAX  16
#define REQUEST_SESSION_MAX 64 /**< bytes of a session name chosen by the caller */

typedef enum
{
  REQUEST_CHAT,
  REQUEST_SERVICE
} RequestKind;

/** Progress of the answer to the caller. */
typedef enum
{
  RELAY_OPEN,    /**< more events follow */
  RELAY_CLOSING, /**< out holds the last bytes; the response then ends regularly */
  RELAY_FAILING  /**< out holds an error event; the connection is then closed */
} RelayPhase;

typedef struct GateRequest
{
  Gate *gate;
  struct MHD_Connection *connection;
  int fd; /**< libmicrohttpd's end of the socket pair to gate_filter; -1: none */
  char id[ID_SIZE];
  int64_t begun_ms; /**< boot-time clock: when the request line was read */
  Refusal refusal;

  RequestKind kind;
  char *method;             /**< NULL until the headers have been read */
  char *path;               /**< as received; for plain services, the path sent to the server */
  const char *content_type; /**< the caller's Content-Type header, or NULL */
  Buffer body;
  struct json_object *json; /**< parsed body; NULL for plain services */
  bool stream;              /**< the caller asked for a text/event-stream */

  GateSnapshot *snapshot;
  unsigned team;                 /**< index */
  char asked[BILL_NAME_MAX];     /**< model, MODEL@VERSION, quality class or service as requested */
  char key[REQUEST_KEY_MAX + 1]; /**< idempotency key; empty: none */
  char caller[REQUEST_CALLER_MAX + 1]; /**< identity for roll-outs: header or IP address */
  char session[SESSION_TOKEN_MAX];     /**< X-Lovage-Session as received; empty: none */
  char session_version[SESSION_VERSION_MAX];
  bool session_named;      /**< session is a name chosen by the caller, stored in a table row */
  Idempotency idempotency; /**< from the X-Lovage-Idempotent header */
  bool idempotent;
  int64_t deadline_ms;  /**< boot-time clock; 0: none */
  int service;          /**< index, or -1: not a plain service */
  uint64_t prefix_hash; /**< of the beginning of the first message */
  uint64_t caller_hash; /**< of team and caller */
  uint64_t fingerprint; /**< of team and body; see choose_quarantine.h */
  ChoosePlan plan;
  int previous_version; /**< index; its answer missed the target in an earlier stage; -1: none */
  bool rated;           /**< the current stage's answer is rated before it is relayed */
  bool sampled;         /**< the answer is rated after the caller has received it */

  bool counted_in_flight;  /**< counted in gate->in_flight */
  bool limiter_admitted;   /**< admitted by choose_limit; gate_limit_end releases it */
  bool beyond_fair_share;  /**< beyond its team's fair share: engines run it after other work */
  int64_t reserved_tokens; /**< tokens reserved at admission */
  bool claimed;            /**< holds claim, the claim of its idempotency key */
  Claim claim;
  BillRecord bill;
  bool billed;             /**< its usage record has been committed */
  GateAttempt *attempt;    /**< the current attempt, or NULL */
  unsigned attempt_number; /**< of the latest attempt, over all stages */
  uint8_t *excluded;       /**< by server index: 1 if already tried in this stage */
  GateCancel cancel;       /**< answer to cancel at its engine once the caller has its refusal */
  unsigned stage_attempts; /**< of the current stage, without those in stage_unsent */
  unsigned stage_unsent;   /**< attempts of the current stage that were refused at once, unsent */
  bool retry_granted;      /**< the budget has granted a retry that has not been sent yet */
  unsigned lost_answers;   /**< attempts that may have run and gave no complete answer */
  bool server_died;        /**< a server broke off its answer and now refuses connections */
  bool may_have_run;       /**< some attempt may have run without giving an answer */

  int http_status; /**< of the answer */
  char answer_type[64];
  size_t held_values; /**< bytes counted for the parsed body, and for out beyond a short answer */
  size_t held_answer;
  Buffer out;  /**< bytes for the caller */
  size_t sent; /**< bytes of out that libmicrohttpd has taken */
  RelayPhase phase;
  Buffer kept;        /**< copy of the answer, to be stored with the claim */
  bool kept_overflow; /**< the answer is too long to be stored */
} GateRequest;

/** uri is as the caller sent it: not decoded, and with its query. */
GateRequest *gate_request_new (Gate *gate, struct MHD_Connection *connection, const char *uri);
/** Reads route and headers and authenticates the team. False: r->refusal says why not. */
bool gate_request_read_head (GateRequest *r, const char *method);
/** Parses and checks the body. False: r->refusal says why not. */
bool gate_request_read_body (GateRequest *r);
/** Counts an answer of len bytes that is collected before it is relayed, and waits for room if it
 * is long. False, with *st set: there is none in time. */
bool gate_request_hold_answer (GateRequest *r, size_t len, Status *st);
/** True if the caller has closed its side of the connection. */
bool gate_request_caller_left (const GateRequest *r);
/** True if the deadline has passed and the request may be ended. Never true with a claim: such a
 * request runs to its end, so that a caller's retry finds its answer. */
bool gate_request_past_deadline (const GateRequest *r);
/** True if a request with the same fingerprint has crashed backend servers before. */
bool gate_request_quarantined (const GateRequest *r);
/** After a server's death, raises the refusal's retry-after time to REQUEST_DEATH_PROPAGATION_MS,
 * so that all VMs have the death report when the caller retries. */
void gate_request_raise_retry_after (GateRequest *r);
const ConfigTeam *gate_request_team (const GateRequest *r);
/** Frees the request. An unfinished answer is cancelled and billed. */
void gate_request_free (GateRequest *r);

#endif
