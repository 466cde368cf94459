/**
 * Admission control: teams' limits, fair shares of the engines' capacity, and deadlines that
 * cannot be met. The policy is in choose_limit; this module supplies its inputs.
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
  pthread_mutex_t lock;  /**< guards the members up to answer_time_ms */
  int64_t at_ms;         /**< boot-time clock: when capacity and wait_ms were computed */
  unsigned capacity;     /**< requests that this gate may have in progress */
  int64_t wait_ms;       /**< expected wait for a slot at the least loaded engine */
  double answer_time_ms; /**< exponential moving average of the time of an answer */
  int64_t first_view_ms; /**< atomic; boot-time clock: first membership view; 0: none yet */
} GateLimit;

void gate_limit_init (GateLimit *limit);
void gate_limit_clear (GateLimit *limit);
/** Sets the number of member VMs and this VM's rank among them, from the latest grant. */
void gate_limit_set_view (GateLimit *limit, unsigned members, int rank);
/**
 * True once this VM's shares of the teams' limits are usable. After its start a VM has no share
 * until the other VMs use a membership view that contains it. Always true if no team has a limit.
 */
bool gate_limit_settled (GateLimit *limit, const Config *config);
/** Admits r, or returns false with the reason and the retry-after time in r->refusal. */
bool gate_limit_admit (struct GateRequest *r);
/** Releases what an admitted request held. Does nothing if it was not admitted. */
void gate_limit_end (struct GateRequest *r);
/** Adds the time of one answer, in milliseconds, to the moving average. */
void gate_limit_record_time (GateLimit *limit, double ms);

#endif
