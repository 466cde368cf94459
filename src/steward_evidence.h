/**
 * Evidence about the versions of open roll-outs, from this VM's gates: totals since this steward
 * first saw the roll-out, by team. Totals, never increments, go to the table and from there to the
 * holder of the roll-out duty, so that a write that is repeated, lost or late counts nothing twice.
 */
#ifndef STEWARD_EVIDENCE_H
#define STEWARD_EVIDENCE_H

#include "config.h"
#include "lovage.h"
#include <pthread.h>

/** Roll-outs judged at a time. */
#define EVIDENCE_ROLLOUTS_MAX 8
/** Teams told apart by one VM, of each version; the rest is summed under the empty name. */
#define EVIDENCE_TEAMS_MAX 12

typedef struct
{
  char team[CONFIG_NAME_MAX + 1];
  int64_t answers; /**< that came whole */
  int64_t errors;
  int64_t slow;
  int64_t rated;
  int64_t callers; /**< a caller that is in several reports is counted in each */
  double rating_sum;
  double rating_square_sum;
} EvidenceSums;

typedef enum
{
  EVIDENCE_OLD, /**< the version that is replaced */
  EVIDENCE_NEW,
  EVIDENCE_SIDES
} EvidenceSide;

typedef struct
{
  char model[CONFIG_NAME_MAX + 1];
  char from[CONFIG_NAME_MAX + 1];
  char to[CONFIG_NAME_MAX + 1];
  size_t stage;
  int64_t since; /**< configuration number at which this steward began to count */
  int64_t
      closed_number; /**< a number in which this steward saw it not open; 0: none. Not in the row */
  EvidenceSums sums[EVIDENCE_SIDES][EVIDENCE_TEAMS_MAX + 1]; /**< the last is the rest's */
  size_t counts[EVIDENCE_SIDES];                             /**< named ones */
} EvidenceRollout;

typedef struct
{
  pthread_mutex_t lock;
  EvidenceRollout *rollouts;
  size_t count;
  int64_t number; /**< followed last; 0: none */
  bool changed;   /**< since the last copy */
} StewardEvidence;

void steward_evidence_init (StewardEvidence *e);
void steward_evidence_clear (StewardEvidence *e);
/** Follows a configuration: counts for the roll-outs that are open in it, and forgets others. One
 *  that goes back to an earlier stage, or to other versions, is counted anew. */
void steward_evidence_apply_config (StewardEvidence *e, const Config *config);
/** Adds a gate's report. */
void steward_evidence_add (StewardEvidence *e, const rpc_evidence *reports, size_t count);
/** Copies what is counted to out, room for EVIDENCE_ROLLOUTS_MAX; returns how many. */
size_t steward_evidence_copy (StewardEvidence *e, EvidenceRollout *out);
/** Whether something was added since the last call. */
bool steward_evidence_changed (StewardEvidence *e);

/** The row's text; freed with free. */
char *steward_evidence_text (const char *vm, const EvidenceRollout *rollouts, size_t count);
/** Reads a row; what is not understood is left out. Room for EVIDENCE_ROLLOUTS_MAX. */
size_t steward_evidence_parse (const char *text, EvidenceRollout *out);

/** Time between writes, and between reads by the duty's holder: with many members both grow, so
 *  that all rows together stay within the holder's share of the network and the service's writes.
 */
int64_t steward_evidence_interval_ms (size_t members);

#endif
