/**
 * Result of an operation: a code and, for an error, a message with the step and the peer where it
 * occurred.
 */
#ifndef UTIL_STATUS_H
#define UTIL_STATUS_H

#include <stdarg.h>

typedef enum
{
  STATUS_OK = 0,
  STATUS_INVALID,     /**< the input is wrong; a retry will not help */
  STATUS_NOT_FOUND,   /**< no such row, object or entry */
  STATUS_CONFLICT,    /**< a condition did not hold; nothing was changed */
  STATUS_DENIED,      /**< the peer is not allowed to do this */
  STATUS_UNAVAILABLE, /**< the peer did not execute the operation: it had no effect */
  STATUS_UNKNOWN, /**< sent, but no complete answer arrived: it may or may not have taken effect */
  STATUS_FULL,    /**< a limit of this process was reached; retry later */
  STATUS_INTERNAL /**< an internal error of this process */
} StatusCode;

/* Sizes in bytes, with the terminating NUL; longer texts are truncated. */
#define STATUS_STEP_MAX    32
#define STATUS_PEER_MAX    64
#define STATUS_MESSAGE_MAX 256

typedef struct
{
  StatusCode code;
  char step[STATUS_STEP_MAX];       /**< what was being done, e.g. "platform.txn" */
  char peer[STATUS_PEER_MAX];       /**< the peer, "ADDRESS:PORT" or a name; may be empty */
  char message[STATUS_MESSAGE_MAX]; /**< human-readable, without confidential keys or prompt text */
} Status;

/** Fills *st (which may be NULL) and returns code. peer may be NULL. */
StatusCode status_set (Status *st,
                       StatusCode code,
                       const char *step,
                       const char *peer,
                       const char *format,
                       ...) __attribute__ ((format (printf, 5, 6)));

/** Clears *st (which may be NULL) and returns STATUS_OK. */
StatusCode status_ok (Status *st);

/** Lower-case name of the code, e.g. "not_found". */
const char *status_code_name (StatusCode code);

#endif
