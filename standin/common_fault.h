/**
 * Fault injection. POST /v1/fault {"kind":K,"value":V,"count":N,"path":P} sets a fault: it applies
 * to the next N requests (0: until cleared) whose path begins with P (no "path": to every request).
 * Each kind holds one setting, which a later POST replaces. DELETE /v1/fault clears all faults.
 */
#ifndef COMMON_FAULT_H
#define COMMON_FAULT_H

#include <stdbool.h>
#include <stdint.h>

#define FAULT_TEXT_MAX 128 /**< bytes, with the NUL; longer texts are cut */

typedef enum
{
  FAULT_DOWN,           /**< answered with 503; the request has no effect */
  FAULT_SLOW,           /**< value: ms before the request takes effect, even if the caller left */
  FAULT_LOSE_CALL,      /**< connection closed without an answer; the request has no effect */
  FAULT_LOSE_REPLY,     /**< connection closed without an answer; the request takes effect */
  FAULT_LATE_EVENTS,    /**< value: ms before a cache event is reported */
  FAULT_GAPPY_EVENTS,   /**< value N: every Nth cache event is left out */
  FAULT_LAG_LOAD,       /**< value: age in ms of the load that is reported */
  FAULT_CRASH_ON,       /**< value: text; a prompt that contains it ends the process at once */
  FAULT_CUT_AT,         /**< value: bytes of a stream after which its connection is closed */
  FAULT_DUPLICATE,      /**< value N: every Nth event of a stream is sent twice */
  FAULT_REORDER,        /**< value N: every Nth event of a stream is swapped with the next one */
  FAULT_IGNORE_FENCING, /**< orders with outdated fencing numbers are executed */
  FAULT_NOT_RUN,        /**< answered with 503 and code not_run; no run starts */
  FAULT_BAD_VERSION,    /**< value: MODEL@VERSION whose answers are bad while the fault is set */
  FAULT_DRAIN,          /**< the engine reports that it is draining and refuses new requests */
  FAULT_KINDS
} FaultKind;

typedef struct
{
  bool set;
  double number;             /**< value; 0 if it is not a number */
  char text[FAULT_TEXT_MAX]; /**< value; "" if it is not a string */
  char path[FAULT_TEXT_MAX]; /**< prefix of the request's path; "" matches all */
  unsigned remaining;        /**< requests to which it still applies; 0: unlimited */
} Fault;

/** Sets a fault from the body of a POST; false if it is not valid or its kind is unknown. */
bool fault_set (const char *text);
void fault_clear (void);
/** True if the fault applies to a request of this path, which uses up one of its count. Copies the
 *  fault to *out, which may be NULL. */
bool fault_consume (FaultKind kind, const char *path, Fault *out);
/** Like fault_consume, but leaves the count as it is. */
bool fault_peek (FaultKind kind, const char *path, Fault *out);

#endif
