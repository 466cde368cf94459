/**
 * Counts the answers of a service's new and old version, and decides whether they show the new one
 * to be worse. Counts only grow, so two reports of the same counts are merged by taking the larger
 * ones.
 *
 * How slow an answer is, is judged by no fixed time: services answer within milliseconds or
 * seconds. Answers of both versions are counted by how late they began against the same prediction,
 * and streams by how long prompts were read and how slowly they go on; the two distributions are
 * compared.
 */
#ifndef FRONT_EVIDENCE_H
#define FRONT_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

/** Routes are counted separately, by hash, as a version may be bad for only one of them. */
#define EVIDENCE_ROUTES 8
/** Classes of delay, the ratio of an answer's time to its prediction. Each class begins at 1.41
 *  times the ratio of the one before. */
#define EVIDENCE_DELAYS 12
/** The class that begins at the prediction itself. */
#define EVIDENCE_ON_TIME 6
/** Servers of the new version are counted in groups, by hash: some slow servers are no slow
 * version. */
#define EVIDENCE_GROUPS 8

typedef enum
{
  EVIDENCE_NEW,
  EVIDENCE_OLD,
  EVIDENCE_SIDES
} EvidenceSide;

typedef struct
{
  uint32_t answers;                 /**< all answers */
  uint32_t failed;                  /**< server errors */
  uint32_t delays[EVIDENCE_DELAYS]; /**< how the others began and went on, by class */
} EvidenceCount;

/** Those of the new version's answers whose server was loaded on purpose (front_canary). */
typedef struct
{
  uint32_t answers;
  uint32_t failed;
} EvidenceLoaded;

typedef struct
{
  EvidenceCount counts[EVIDENCE_SIDES][EVIDENCE_ROUTES];
  EvidenceCount groups[EVIDENCE_GROUPS]; /**< the new version's, over all routes */
  EvidenceLoaded loaded[EVIDENCE_ROUTES];
} FrontEvidence;

/** An answer, or a request that has waited in vain so far. */
typedef struct
{
  EvidenceSide side;
  uint64_t route;  /**< hash */
  uint64_t server; /**< hash */
  bool failed;
  bool loaded;         /**< its server was loaded on purpose; the new version's only */
  double first_ms;     /**< from sending to the begin of the answer, or until now */
  double predicted_ms; /**< expected for that */
} EvidenceAnswer;

void front_evidence_add (FrontEvidence *evidence, const EvidenceAnswer *answer);
/** Raises the counts of into to at least those of other. */
void front_evidence_merge (FrontEvidence *into, const FrontEvidence *other);
/** Adds the counts of another front. */
void front_evidence_sum (FrontEvidence *into, const FrontEvidence *other);

/** How fast a stream goes on. */
typedef struct
{
  EvidenceSide side;
  uint64_t server; /**< hash */
  double gap_ms;   /**< between two events */
  double usual_ms; /**< the same of the old version's streams */
} EvidencePace;

/** Counts a stream's pace as a delay, besides how its answer began: a version may be slow in
 *  either. It is no further answer. */
void front_evidence_add_pace (FrontEvidence *evidence, const EvidencePace *pace);

/** How long a model engine read a prompt. */
typedef struct
{
  EvidenceSide side;
  uint64_t server;     /**< hash */
  double read_ms;      /**< from sending to the begin of the answer, less what was predicted for all
                          else */
  double predicted_ms; /**< expected for that */
} EvidenceReading;

/** Counts the reading of a prompt as a delay in the same way, if it is long enough to tell. */
void front_evidence_add_reading (FrontEvidence *evidence, const EvidenceReading *reading);

/** How certain a verdict has to be. */
typedef enum
{
  EVIDENCE_CERTAIN, /**< beyond chance; while the roll-out can still bring more answers */
  EVIDENCE_DOUBT,   /**< two bad answers suffice, or one if it is the only answer; before the old
                       version is given up for good */
} EvidenceThreshold;

/** What evidence shows of the new version. */
typedef enum
{
  EVIDENCE_FINE,
  EVIDENCE_FAILS, /**< it fails more often than the old version */
  EVIDENCE_SLOW,  /**< its answers begin later or go on slower than those of the old version */
  EVIDENCE_FAILS_LOADED, /**< it fails at loaded servers */
  EVIDENCE_VERDICTS
} EvidenceVerdict;

typedef struct
{
  EvidenceVerdict verdict;
  unsigned route; /**< index of the route that shows it; EVIDENCE_ROUTES: all together */
  unsigned delay; /**< class from which on answers count as late; only if slow */
} EvidenceFinding;

/** Compares the new version with the old one, on each route and over all. */
EvidenceFinding front_evidence_judge (const FrontEvidence *evidence, EvidenceThreshold threshold);
/** True if the new version is worse than the old one, over all routes or on one. */
bool front_evidence_is_bad (const FrontEvidence *evidence, EvidenceThreshold threshold);
/** Lower-case name, as in logs. */
const char *evidence_verdict_name (EvidenceVerdict verdict);
/** The counts of one version over all routes. */
EvidenceCount front_evidence_total (const FrontEvidence *evidence, EvidenceSide side);
/** Answers of loaded servers over all routes. */
EvidenceLoaded front_evidence_loaded (const FrontEvidence *evidence);
/** Number of answers over all routes. */
uint32_t front_evidence_answers (const FrontEvidence *evidence, EvidenceSide side);
/** Number of answers that began in this class of delay or a later one. */
uint32_t evidence_count_late (const EvidenceCount *count, unsigned delay);

#endif
