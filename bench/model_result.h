/**
 * Results of a simulation run.
 */
#ifndef MODEL_RESULT_H
#define MODEL_RESULT_H

#include "choose.h"
#include <stddef.h>
#include <stdint.h>

#define CLASSES_MAX 8

/** Growing array of times of answers, in milliseconds. */
typedef struct
{
  double *values;
  size_t count;
  size_t cap;
  bool sorted;
} ModelTimes;

typedef struct
{
  unsigned submitted; /**< requests, without those that callers sent again */
  unsigned answered;
  unsigned in_time;                /**< answered before the deadline */
  unsigned good;                   /**< answered with a rating of at least the class's target */
  unsigned with_class;             /**< answered, of those that named a class */
  unsigned by_class[CLASSES_MAX];  /**< answered, by class */
  double over_target[CLASSES_MAX]; /**< sum of true rating less target */
  double cost; /**< of all stages' complete answers, relayed to the caller or not */
  unsigned refused[REASON_COUNT];
  unsigned failed;           /**< refused after a failed attempt */
  unsigned others_submitted; /**< by teams other than the one that floods */
  unsigned others_refused;   /**< of them: refused or failed */
  unsigned attempts;
  unsigned retries;
  unsigned caller_retries;    /**< requests sent again after a refusal with a retry-after time */
  unsigned crashed;           /**< engines that a request crashed */
  unsigned false_quarantines; /**< quarantined, but crash no engine; printed as "innocent" */
  unsigned exposed;           /**< callers that got an answer of the candidate version */
  unsigned exposed_bad;       /**< callers that got a bad answer of it */
  double brake_s;             /**< from the roll-out's start until the brake; 0: none */
  double done_s;              /**< until the candidate serves all callers; 0: not reached */
  ModelTimes first;           /**< to the first token */
  ModelTimes whole;           /**< to the complete answer */
  ModelTimes others;          /**< to the first token, of teams other than the one that floods */
} ModelResult;

void times_add (ModelTimes *times, double ms);
/** The quantile of this share; 0 if there are no times. Sorts the times. */
double times_quantile (ModelTimes *times, double share);
/** Mean true rating minus the target, of the class with the lowest difference. */
double result_min_over_target (const ModelResult *result);
/** Number of refusals over all reasons. */
unsigned result_refused (const ModelResult *result);
void result_free (ModelResult *result);

#endif
