/**
 * Submits an operator's change of the configuration: one transaction that is conditional on the
 * number that the change was made against.
 */
#ifndef STEWARD_SUBMIT_H
#define STEWARD_SUBMIT_H

#include "platform.h"
#include "util_check.h"
#include <json-c/json.h>

/** Time for which a submission tries to find out its outcome after a lost reply. */
#define STEWARD_SUBMIT_TIMEOUT_MS 5000

typedef enum
{
  STEWARD_SUBMIT_DURABLE,
  STEWARD_SUBMIT_CONFLICT,    /**< another change came first, or base is not the newest number */
  STEWARD_SUBMIT_INVALID,     /**< the result would not be a valid document */
  STEWARD_SUBMIT_UNAVAILABLE, /**< nothing changed: the table service does not answer */
  STEWARD_SUBMIT_UNKNOWN      /**< the change may have been made or may still be: check the versions
                                 later */
} StewardSubmitOutcome;

typedef struct
{
  const char *operator_name;
  const char *reason;
  int64_t base;         /**< number that the change is made against; 0: it is the first document */
  const char *change;   /**< JSON merge patch, or the complete document with base 0 */
  int64_t known_number; /**< number of known_text, a document that the caller passes to save a read;
                           0: none */
  const char *known_text;
  /** An additional CHECK of the transaction, e.g. that a duty is still held; NULL: none. If it
   * doesn't hold, nothing is changed and the outcome is CONFLICT. */
  const TxnOp *condition;
} StewardSubmission;

typedef struct
{
  StewardSubmitOutcome outcome;
  int64_t number;   /**< with DURABLE: number of the new document */
  int64_t head;     /**< with CONFLICT: the newest number */
  char *text;       /**< with DURABLE: the new document */
  CheckList errors; /**< with INVALID */
  Status st;
} StewardSubmitResult;

/** Submits the change; the result is freed with steward_submit_clear. */
void steward_submit (Platform *p, const StewardSubmission *submission, StewardSubmitResult *out);
void steward_submit_clear (StewardSubmitResult *result);

#endif
