/**
 * Admission by limits: teams' shares, fair parts of the engines' capacity, and deadlines that can't
 * be met. The policy is choose_limit's; here are its inputs.
 */
#ifndef GATE_LIMIT_H
#define GATE_LIMIT_H

#include "choose_limit.h"
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

struct Gate;
struct GateRequest;

typedef struct
{
  Limiter *limiter;
  pthread_mutex_t lock; /**< guards what follows */
  int64_t at_ms;        /**< when capacity and wait were worked out; boot-time clock */
  unsigned capacity;
  int64_t wait_ms;
  double answer_time_ms; /**< moving mean of an answer's time */
  int64_t first_view_ms; /**< atomic; 0: none yet */
} GateLimit;

void gate_limit_init (GateLimit *limit);
void gate_limit_clear (GateLimit *limit);
/** This VM's place among the members, as the last grant said. */
void gate_limit_view (GateLimit *limit, unsigned members, int rank);
/** True once this VM's parts of the teams' limits count: a VM that has just started has none until
 *  the others go by a view with it. */
bool gate_limit_settled (GateLimit *limit, const Config *config);
/** False: r->refusal says why and when to come back. */
bool gate_limit_admit (struct GateRequest *r);
/** Gives back what an admitted request held. */
void gate_limit_end (struct GateRequest *r);
/** An answer took so long. */
void gate_limit_record_time (GateLimit *limit, double ms);

#endif
