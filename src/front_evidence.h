/**
 * Answers of a service's new and old version, counted side by side, and what they say of the new
 * one. Counts only grow, so what nodes tell each other merges by taking the larger.
 */
#ifndef FRONT_EVIDENCE_H
#define FRONT_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

/** Routes are counted apart, by hash, since a version may be bad for one of them only. */
#define EVIDENCE_ROUTES 8

typedef enum
{
  EVIDENCE_NEW,
  EVIDENCE_OLD,
  EVIDENCE_SIDES
} EvidenceSide;

typedef struct
{
  uint32_t answers; /**< of any kind */
  uint32_t failed;  /**< server's own errors */
  uint32_t slow;    /**< began far later than predicted */
} EvidenceCount;

typedef struct
{
  EvidenceCount counts[EVIDENCE_SIDES][EVIDENCE_ROUTES];
} FrontEvidence;

void front_evidence_add (FrontEvidence *evidence,
                         EvidenceSide side,
                         uint64_t route,
                         bool failed,
                         double first_ms,
                         double predicted_ms);
/** Raises the counts of into to at least those of news. */
void front_evidence_merge (FrontEvidence *into, const FrontEvidence *other);
/** Adds the counts of another node. */
void front_evidence_sum (FrontEvidence *into, const FrontEvidence *other);
/** How sure a verdict has to be. */
typedef enum
{
  EVIDENCE_CERTAIN, /**< beyond chance: while the roll-out can still bring more answers */
  EVIDENCE_DOUBT,   /**< two bad answers are enough, or one if it is the only one: before the
                       old version is given up for good */
} EvidenceThreshold;

/** True if the new version is worse than the old one, on all routes or on one. */
bool front_evidence_is_bad (const FrontEvidence *evidence, EvidenceThreshold threshold);
uint32_t front_evidence_answers (const FrontEvidence *evidence, EvidenceSide side);

#endif
