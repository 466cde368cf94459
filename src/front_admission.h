/**
 * Decides whether a request is refused at once, as its answer is predicted to begin only after its
 * caller has left, and when its caller may come back. No I/O.
 */
#ifndef FRONT_ADMISSION_H
#define FRONT_ADMISSION_H

#include <stdint.h>

/** A request that was sent to no server yet. */
typedef struct
{
  double begin_ms; /**< until its answer is predicted to begin at the best server */
  int64_t left_ms; /**< until its caller's deadline */
  int64_t rank;    /**< 0, the most urgent, to URGENCY_RANK_MAX */
  double spread;   /**< random, 0 to 1: so that callers don't come back together */
} AdmissionRequest;

/** 0: the request is sent. Otherwise it is refused, and its caller may come back after so many
 *  milliseconds: when the excess of the wait is predicted to be over, the most urgent first, at
 *  most a third of the time that it has left. */
int64_t front_admission_refuse_ms (const AdmissionRequest *request);

#endif
