#include "front_evidence.h"

/* An answer is slow if it begins later than SLOW_FACTOR times its prediction plus SLOW_MARGIN_MS. A
 * version that is several times slower is detected at once; a queue in front of both versions
 * counts against both. */
#define SLOW_FACTOR    4.0
#define SLOW_MARGIN_MS 200.0

/* Minimum bad answers for any conclusion. A bad version must be stopped before it has given 50; six
 * at a tenth of the traffic arrive within two seconds of its turning bad. */
#define FAILED_MIN 6
#define SLOW_MIN   8
#define DOUBT_MIN  2 /* failed or slow, under EVIDENCE_DOUBT */
/* A version is bad if its share of bad answers exceeds the old version's times WORSE_FACTOR plus a
 * margin. Servers that fail for other reasons (crashes, overload) do so under both versions. */
#define WORSE_FACTOR  3.0
#define FAILED_MARGIN 0.06
#define SLOW_MARGIN   0.25

void
front_evidence_add (FrontEvidence *evidence,
                    EvidenceSide side,
                    uint64_t route,
                    bool failed,
                    double first_ms,
                    double predicted_ms)
{
  EvidenceCount *count = &evidence->counts[side][route % EVIDENCE_ROUTES];

  count->answers++;
  count->failed += failed;
  count->slow += !failed && first_ms > SLOW_FACTOR * predicted_ms + SLOW_MARGIN_MS;
}

static void
merge_max (uint32_t *into, uint32_t value)
{
  if (value > *into)
    *into = value;
}

void
front_evidence_merge (FrontEvidence *into, const FrontEvidence *other)
{
  for (unsigned side = 0; side < EVIDENCE_SIDES; side++)
    {
      for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
        {
          merge_max (&into->counts[side][i].answers, other->counts[side][i].answers);
          merge_max (&into->counts[side][i].failed, other->counts[side][i].failed);
          merge_max (&into->counts[side][i].slow, other->counts[side][i].slow);
        }
    }
}

static void
count_sum (EvidenceCount *into, const EvidenceCount *other)
{
  into->answers += other->answers;
  into->failed += other->failed;
  into->slow += other->slow;
}

void
front_evidence_sum (FrontEvidence *into, const FrontEvidence *other)
{
  for (unsigned side = 0; side < EVIDENCE_SIDES; side++)
    {
      for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
        count_sum (&into->counts[side][i], &other->counts[side][i]);
    }
}

static double
share (uint32_t part, uint32_t all)
{
  return all ? (double)part / all : 0;
}

static bool
count_is_bad (const EvidenceCount *new_count,
              const EvidenceCount *old_count,
              EvidenceThreshold threshold)
{
  uint32_t failed_min = threshold == EVIDENCE_DOUBT ? DOUBT_MIN : FAILED_MIN;
  uint32_t slow_min = threshold == EVIDENCE_DOUBT ? DOUBT_MIN : SLOW_MIN;
  double failed_bound
      = share (old_count->failed, old_count->answers) * WORSE_FACTOR + FAILED_MARGIN;
  double slow_bound = share (old_count->slow, old_count->answers) * WORSE_FACTOR + SLOW_MARGIN;

  if (new_count->failed >= failed_min
      && share (new_count->failed, new_count->answers) > failed_bound)
    return true;
  return new_count->slow >= slow_min && share (new_count->slow, new_count->answers) > slow_bound;
}

bool
front_evidence_is_bad (const FrontEvidence *evidence, EvidenceThreshold threshold)
{
  EvidenceCount all[EVIDENCE_SIDES] = { 0 };

  for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
    {
      const EvidenceCount *new_count = &evidence->counts[EVIDENCE_NEW][i];
      const EvidenceCount *old_count = &evidence->counts[EVIDENCE_OLD][i];

      if (count_is_bad (new_count, old_count, threshold))
        return true;
      count_sum (&all[EVIDENCE_NEW], new_count);
      count_sum (&all[EVIDENCE_OLD], old_count);
    }
  if (threshold == EVIDENCE_DOUBT && all[EVIDENCE_NEW].answers == 1
      && all[EVIDENCE_NEW].failed == 1)
    return true;
  return count_is_bad (&all[EVIDENCE_NEW], &all[EVIDENCE_OLD], threshold);
}

EvidenceCount
front_evidence_total (const FrontEvidence *evidence, EvidenceSide side)
{
  EvidenceCount total = { 0 };

  for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
    count_sum (&total, &evidence->counts[side][i]);
  return total;
}

uint32_t
front_evidence_answers (const FrontEvidence *evidence, EvidenceSide side)
{
  return front_evidence_total (evidence, side).answers;
}
