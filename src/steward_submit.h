/**
 * An operator's change of the configuration: one transaction that is conditional on the number it
 * was made against.
 */
#ifndef STEWARD_SUBMIT_H
#define STEWARD_SUBMIT_H

#include "platform.h"
#include "util_check.h"
#include <json-c/json.h>

/** How long a submission goes on settling a lost reply. */
#define STEWARD_SUBMIT_TIMEOUT_MS 5000

typedef enum
{
  STEWARD_SUBMIT_DURABLE,
  STEWARD_SUBMIT_CONFLICT,    /**< another change won, or base is not the newest number */
  STEWARD_SUBMIT_INVALID,     /**< the result would not be a valid document */
  STEWARD_SUBMIT_UNAVAILABLE, /**< not done: the table service does not answer */
  STEWARD_SUBMIT_UNKNOWN      /**< may be done or still be done: look at the versions later */
} StewardSubmitOutcome;

typedef struct
{
  const char *operator_name;
  const char *reason;
  int64_t base;         /**< number that the change is made against; 0: it is the first document */
  const char *change;   /**< JSON merge patch, or the whole document with base 0 */
  int64_t known_number; /**< a document that the caller has, so that it needn't be read; 0: none */
  const char *known_text;
  /** One more CHECK of the transaction, e.g. that a duty is still held; NULL: none. If it doesn't
   *  hold, nothing is changed and the outcome is CONFLICT. */
  const TxnOp *condition;
} StewardSubmission;

typedef struct
{
  StewardSubmitOutcome outcome;
  int64_t number;   /**< with DURABLE */
  int64_t head;     /**< with CONFLICT: the newest number */
  char *text;       /**< with DURABLE: the new document */
  CheckList errors; /**< with INVALID */
  Status st;
} StewardSubmitResult;

/** Submits; the result is freed with steward_submit_clear. */
void steward_submit (Platform *p, const StewardSubmission *submission, StewardSubmitResult *out);
void steward_submit_clear (StewardSubmitResult *result);

#endif
