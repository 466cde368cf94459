#include "front_evidence.h"

/* An answer is slow if it begins later than this many times its prediction and this much on top:
 * a version that is several times slower shows at once, a queue in front of both versions counts
 * against both. */
#define SLOW_TIMES   4.0
#define SLOW_MORE_MS 200.0

/* Bad answers below which nothing is concluded. A bad version may have given 50 before it has to be
 * stopped; six at a tenth of the traffic come within two seconds of its turning bad. */
#define FAILED_LEAST 6
#define SLOW_LEAST   8
#define DOUBT_LEAST  2 /* of either kind, if in doubt */
/* How much worse than the old version: its share, this many times, and this much on top. Servers
 * that fail for other reasons (crashed, overloaded) do so under both versions. */
#define WORSE_TIMES 3.0
#define FAILED_MORE 0.06
#define SLOW_MORE   0.25

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
  count->slow += !failed && first_ms > SLOW_TIMES * predicted_ms + SLOW_MORE_MS;
}

static void
raise_to (uint32_t *into, uint32_t value)
{
  if (value > *into)
    *into = value;
}

void
front_evidence_raise (FrontEvidence *into, const FrontEvidence *news)
{
  for (unsigned side = 0; side < EVIDENCE_SIDES; side++)
    {
      for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
        {
          raise_to (&into->counts[side][i].answers, news->counts[side][i].answers);
          raise_to (&into->counts[side][i].failed, news->counts[side][i].failed);
          raise_to (&into->counts[side][i].slow, news->counts[side][i].slow);
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
count_is_bad (const EvidenceCount *fresh, const EvidenceCount *old, EvidenceBar bar)
{
  uint32_t failed_least = bar == EVIDENCE_DOUBT ? DOUBT_LEAST : FAILED_LEAST;
  uint32_t slow_least = bar == EVIDENCE_DOUBT ? DOUBT_LEAST : SLOW_LEAST;
  double failed_bound = share (old->failed, old->answers) * WORSE_TIMES + FAILED_MORE;
  double slow_bound = share (old->slow, old->answers) * WORSE_TIMES + SLOW_MORE;

  if (fresh->failed >= failed_least && share (fresh->failed, fresh->answers) > failed_bound)
    return true;
  return fresh->slow >= slow_least && share (fresh->slow, fresh->answers) > slow_bound;
}

bool
front_evidence_is_bad (const FrontEvidence *evidence, EvidenceBar bar)
{
  EvidenceCount all[EVIDENCE_SIDES] = { 0 };

  for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
    {
      const EvidenceCount *fresh = &evidence->counts[EVIDENCE_NEW][i];
      const EvidenceCount *old = &evidence->counts[EVIDENCE_OLD][i];

      if (count_is_bad (fresh, old, bar))
        return true;
      count_sum (&all[EVIDENCE_NEW], fresh);
      count_sum (&all[EVIDENCE_OLD], old);
    }
  if (bar == EVIDENCE_DOUBT && all[EVIDENCE_NEW].answers == 1 && all[EVIDENCE_NEW].failed == 1)
    return true;
  return count_is_bad (&all[EVIDENCE_NEW], &all[EVIDENCE_OLD], bar);
}

uint32_t
front_evidence_answers (const FrontEvidence *evidence, EvidenceSide side)
{
  uint32_t answers = 0;

  for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
    answers += evidence->counts[side][i].answers;
  return answers;
}
