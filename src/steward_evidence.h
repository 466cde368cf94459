/**
 * Evidence about the versions of open roll-outs from this VM's gates: totals by team since this
 * steward first saw the roll-out. Totals, never increments, go to the table and from there to the
 * holder of the roll-out duty, so that no answer is counted twice or lost if a write is repeated,
 * lost or late.
 */
#ifndef STEWARD_EVIDENCE_H
#define STEWARD_EVIDENCE_H

#include "config.h"
#include "lovage.h"
#include <pthread.h>

/** Upper bound on the roll-outs that are tested at a time. */
#define EVIDENCE_ROLLOUTS_MAX 8
/** Teams counted separately by one VM, per version; the others are summed under the empty name. */
#define EVIDENCE_TEAMS_MAX 12

typedef struct
{
  char team[CONFIG_NAME_MAX + 1];
  int64_t answers; /**< complete answers */
  int64_t errors;
  int64_t slow;      /**< slow answers */
  int64_t rated;     /**< rated answers */
  int64_t callers;   /**< callers; one that is in several reports is counted in each */
  double rating_sum; /**< of the rated answers */
  double rating_square_sum;
} EvidenceSums;

typedef enum
{
  EVIDENCE_OLD, /**< old version, which is replaced */
  EVIDENCE_NEW,
  EVIDENCE_SIDES
} EvidenceSide;

typedef struct
{
  char model[CONFIG_NAME_MAX + 1];
  char from[CONFIG_NAME_MAX + 1];
  char to[CONFIG_NAME_MAX + 1];
  size_t stage;
  int64_t since;         /**< configuration number at which this steward began to count */
  int64_t closed_number; /**< last configuration number in which this steward saw the roll-out not
                            open; 0: none. Not stored in the row */
  EvidenceSums sums[EVIDENCE_SIDES][EVIDENCE_TEAMS_MAX + 1]; /**< last: all other teams */
  size_t counts[EVIDENCE_SIDES]; /**< elements of sums in use, without the last one */
} EvidenceRollout;

typedef struct
{
  pthread_mutex_t lock;
  EvidenceRollout *rollouts;
  size_t count;
  int64_t number; /**< of the last configuration applied; 0: none */
  bool changed;   /**< since the last steward_evidence_changed */
} StewardEvidence;

void steward_evidence_init (StewardEvidence *e);
void steward_evidence_clear (StewardEvidence *e);
/** Applies a configuration: counts for the roll-outs that are open in it, and drops the others. A
 * roll-out that goes back to an earlier stage, or to other versions, starts from zero. */
void steward_evidence_apply_config (StewardEvidence *e, const Config *config);
/** Adds the reports of a gate. */
void steward_evidence_add (StewardEvidence *e, const rpc_evidence *reports, size_t count);
/** Copies the totals to out, which has room for EVIDENCE_ROLLOUTS_MAX; returns the number of
 * roll-outs. */
size_t steward_evidence_copy (StewardEvidence *e, EvidenceRollout *out);
/** True if something was added since the last call. */
bool steward_evidence_changed (StewardEvidence *e);

/** Text of the table row; freed with free. */
char *steward_evidence_text (const char *vm, const EvidenceRollout *rollouts, size_t count);
/** Parses a row and skips what it can't read; out has room for EVIDENCE_ROLLOUTS_MAX. Returns the
 * number of roll-outs. */
size_t steward_evidence_parse (const char *text, EvidenceRollout *out);

/** Interval between writes, and between reads by the duty's holder. It grows with the number of
 * members, so that all rows together stay within the holder's share of the network and the table
 * service's write rate. */
int64_t steward_evidence_interval_ms (size_t members);

#endif
