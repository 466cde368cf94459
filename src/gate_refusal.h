/**
 * Refusals: the one table that maps each reason to its HTTP status, its text and the time to come
 * back. A refusal is given at once.
 */
#ifndef GATE_REFUSAL_H
#define GATE_REFUSAL_H

#include "choose.h"
#include "util_buffer.h"

/** Reasons of the gate itself, counted on from those of the decision (Reason). */
typedef enum
{
  REFUSAL_MALFORMED = REASON_COUNT, /**< the body or a header can't be read */
  REFUSAL_UNAUTHENTICATED,
  REFUSAL_NO_ROUTE,
  REFUSAL_METHOD,
  REFUSAL_TOO_LARGE,
  REFUSAL_HEAD_TOO_LARGE,
  REFUSAL_READ_TIMEOUT,        /**< the request took too long to arrive */
  REFUSAL_BAD_SESSION,         /**< the session token is not one of ours for this team */
  REFUSAL_SESSION_UNAVAILABLE, /**< a caller-named session can't be looked up now */
  REFUSAL_CLAIM_IN_PROGRESS,   /**< another attempt under the key has started */
  REFUSAL_CLAIM_NOT_KEPT,      /**< it ran, but its answer was not kept */
  REFUSAL_CLAIM_MISMATCH,      /**< the idempotency key belongs to another body */
  REFUSAL_NOT_TAKEN,           /**< each backend server tried refused or could not be reached */
  REFUSAL_BACKEND_REJECTED,    /**< the backend server found the request wrong */
  REFUSAL_BACKEND_FAILED,      /**< sent to a backend server, which gave no whole answer */
  REFUSAL_ANSWER_TOO_LARGE,
  REFUSAL_CALLER_LEFT, /**< nobody reads this one; it is counted and logged */
  REFUSAL_INTERNAL,
  REFUSAL_COUNT
} GateReason;

/** What is known about whether the request ran. */
typedef enum
{
  REQUEST_ANSWERED,
  REQUEST_NOT_RUN,
  REQUEST_UNKNOWN
} RequestState;

#define REFUSAL_STEP_MAX    32
#define REFUSAL_MESSAGE_MAX 256

typedef struct
{
  int reason; /**< a Reason or a GateReason; REASON_NONE: not refused */
  RequestState state;
  char step[REFUSAL_STEP_MAX];
  char message[REFUSAL_MESSAGE_MAX];
  int64_t retry_after_ms; /**< 0: coming back does not help */
} Refusal;

/** Lower-case name on the wire. */
const char *refusal_name (int reason);
int refusal_http_status (int reason);
const char *refusal_text (int reason);
/** Default time to come back in milliseconds; 0: coming back does not help. */
int64_t refusal_retry_after_ms (int reason);
const char *request_state_name (RequestState state);

/** Fills *refusal with the table's text, or with the formatted one if format is not NULL. */
void refusal_set (Refusal *refusal,
                  int reason,
                  RequestState state,
                  const char *step,
                  const char *format,
                  ...) __attribute__ ((format (printf, 5, 6)));
/** Adds {"error":{…}}. */
void refusal_json (const Refusal *refusal, Buffer *out);

#endif
