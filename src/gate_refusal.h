/**
 * Refusals: the table that maps each reason to its HTTP status, text and retry-after time, and the
 * JSON that callers get.
 */
#ifndef GATE_REFUSAL_H
#define GATE_REFUSAL_H

#include "choose.h"
#include "util_buffer.h"

/** Reasons of the gate itself; their values follow those of Reason (choose.h). */
typedef enum
{
  REFUSAL_MALFORMED = REASON_COUNT, /**< the body or a header is invalid */
  REFUSAL_UNAUTHENTICATED,
  REFUSAL_NO_ROUTE,
  REFUSAL_METHOD,
  REFUSAL_TOO_LARGE,
  REFUSAL_HEAD_TOO_LARGE,
  REFUSAL_READ_TIMEOUT, /**< the request took too long to arrive */
  REFUSAL_BAD_SESSION,  /**< the session token was not issued to this team, or the session's name is
                           invalid */
  REFUSAL_SESSION_UNAVAILABLE, /**< a caller-named session cannot be looked up or stored now */
  REFUSAL_CLAIM_IN_PROGRESS,   /**< another request with the same idempotency key has started */
  REFUSAL_CLAIM_NOT_KEPT,      /**< the request ran before, but its answer was not stored */
  REFUSAL_CLAIM_MISMATCH,      /**< the idempotency key was used with another body */
  REFUSAL_NOT_TAKEN, /**< every backend server tried refused the request or was unreachable */
  REFUSAL_BACKEND_REJECTED, /**< the backend server rejected the request as invalid */
  REFUSAL_BACKEND_FAILED,   /**< sent to a backend server that gave no complete answer */
  REFUSAL_ANSWER_TOO_LARGE,
  REFUSAL_CALLER_LEFT, /**< never delivered; only counted and logged */
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

#define REFUSAL_STEP_MAX    32  /**< bytes, with the final NUL */
#define REFUSAL_MESSAGE_MAX 256 /**< bytes, with the final NUL */

typedef struct
{
  int reason; /**< a Reason or a GateReason; REASON_NONE: not refused */
  RequestState state;
  char step[REFUSAL_STEP_MAX];
  char message[REFUSAL_MESSAGE_MAX];
  int64_t retry_after_ms; /**< 0: retrying does not help */
} Refusal;

/** Name of the reason in JSON and metrics. */
const char *refusal_name (int reason);
int refusal_http_status (int reason);
const char *refusal_text (int reason);
/** Default retry-after time in milliseconds; 0: retrying does not help. */
int64_t refusal_retry_after_ms (int reason);
const char *request_state_name (RequestState state);

/** Fills *refusal, with the table's retry-after time. The message is the table's text if format is
 * NULL, otherwise the formatted one. */
void refusal_set (Refusal *refusal,
                  int reason,
                  RequestState state,
                  const char *step,
                  const char *format,
                  ...) __attribute__ ((format (printf, 5, 6)));
/** Appends {"error":{…}} to out. */
void refusal_json (const Refusal *refusal, Buffer *out);

#endif
