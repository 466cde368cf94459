/**
 * Counts the answers of a service's new and old version, and decides whether they show the new one
 * to be worse. Counts only grow, so two reports of the same counts are merged by taking the larger
 * ones.
 */
#ifndef FRONT_EVIDENCE_H
#define FRONT_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

/** Routes are counted separately, by hash, as a version may be bad for only one of them. */
#define EVIDENCE_ROUTES 8

typedef enum
{
  EVIDENCE_NEW,
  EVIDENCE_OLD,
  EVIDENCE_SIDES
} EvidenceSide;

typedef struct
{
  uint32_t answers; /**< all answers */
  uint32_t failed;  /**< server errors */
  uint32_t slow;    /**< began much later than predicted */
} EvidenceCount;

typedef struct
{
  EvidenceCount counts[EVIDENCE_SIDES][EVIDENCE_ROUTES];
} FrontEvidence;

/** Counts an answer that began first_ms after sending, with predicted_ms expected; route: hash. */
void front_evidence_add (FrontEvidence *evidence,
                         EvidenceSide side,
                         uint64_t route,
                         bool failed,
                         double first_ms,
                         double predicted_ms);
/** Raises the counts of into to at least those of other. */
void front_evidence_merge (FrontEvidence *into, const FrontEvidence *other);
/** Adds the counts of another front. */
void front_evidence_sum (FrontEvidence *into, const FrontEvidence *other);

/** How certain a verdict has to be. */
typedef enum
{
  EVIDENCE_CERTAIN, /**< beyond chance; while the roll-out can still bring more answers */
  EVIDENCE_DOUBT,   /**< two bad answers suffice, or one if it is the only answer; before the old
                       version is given up for good */
} EvidenceThreshold;

/** True if the new version is worse than the old one, over all routes or on one. */
bool front_evidence_is_bad (const FrontEvidence *evidence, EvidenceThreshold threshold);
/** The counts of one version over all routes. */
EvidenceCount front_evidence_total (const FrontEvidence *evidence, EvidenceSide side);
/** Number of answers over all routes. */
uint32_t front_evidence_answers (const FrontEvidence *evidence, EvidenceSide side);

#endif
