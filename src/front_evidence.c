#include "front_evidence.h"
#include <math.h>
#include <stdlib.h>

/* Minimum bad answers for any conclusion. A bad version must be stopped before it has given 50; six
 * at a tenth of the traffic arrive within two seconds of its turning bad. */
#define FAILED_MIN 6
#define LATE_MIN   8
/* With fewer answers, which come from few servers, a version has to be late beyond doubt. */
#define LATE_ANSWERS_MIN 16
#define DOUBT_MIN        2 /* failed or late, under EVIDENCE_DOUBT */
/* A version is bad if its share of failed answers exceeds the old version's times WORSE_FACTOR plus
 * a margin. Servers that fail for other reasons (crashes, overload) do so under both versions. */
#define WORSE_FACTOR  3.0
#define FAILED_MARGIN 0.06
/* Standard deviations that chance brings, where the old version fails often as well. */
#define FAILED_DEVIATIONS       4.0
#define FAILED_DEVIATIONS_DOUBT 2.0
/* The same for answers of loaded servers, which are compared with those of the new version's other
 * servers as well. */
#define LOADED_MARGIN 0.02
#define LOADED_MIN    20 /* answers of loaded servers */
/* A version is slow if a share of its answers that is larger by LATE_MARGIN, and by more standard
 * deviations than chance brings, is a class later than those of the old version. */
#define LATE_MARGIN         0.15
#define LATE_DEVIATIONS     3.0
#define LATE_DEVIATIONS_FEW 5.0 /* with few answers, or where two late ones suffice */
/* Minimum share of late answers, beyond the usual one, of the better half of the servers, as a part
 * of that of all. */
#define LATE_SPREAD        0.4
#define CLASSES_PER_OCTAVE 2.0
/* Milliseconds predicted for reading a prompt from which on the time that it took tells anything.
 */
#define READING_MIN_MS 10.0
/* Times of the prediction that reading may take. Idle engines of a good version take a little
 * longer than predicted, and busy ones of the old version, which batch, less. */
#define READING_TOLERANCE 1.7
/* The routes with which readings and the pace of all streams are counted: engines don't tell routes
 * apart. */
#define PACE_ROUTE    (EVIDENCE_ROUTES - 1)
#define READING_ROUTE (EVIDENCE_ROUTES - 2)

static unsigned
delay_class (double first_ms, double predicted_ms)
{
  double ratio = fmax (first_ms, 0) / fmax (predicted_ms, 1);
  double class = ratio > 0 ? floor (CLASSES_PER_OCTAVE * log2 (ratio)) + EVIDENCE_ON_TIME : 0;

  return (unsigned)fmin (fmax (class, 0), EVIDENCE_DELAYS - 1);
}

static void
count_add (EvidenceCount *count, bool failed, unsigned delay)
{
  count->answers++;
  if (failed)
    count->failed++;
  else
    count->delays[delay]++;
}

void
front_evidence_add (FrontEvidence *evidence, const EvidenceAnswer *answer)
{
  unsigned delay = delay_class (answer->first_ms, answer->predicted_ms);

  count_add (&evidence->counts[answer->side][answer->route % EVIDENCE_ROUTES], answer->failed,
             delay);
  if (answer->side != EVIDENCE_NEW)
    return;
  count_add (&evidence->groups[answer->server % EVIDENCE_GROUPS], answer->failed, delay);
  if (answer->loaded)
    {
      EvidenceLoaded *loaded = &evidence->loaded[answer->route % EVIDENCE_ROUTES];

      loaded->answers++;
      loaded->failed += answer->failed;
    }
}

static void
add_delay (FrontEvidence *evidence,
           EvidenceSide side,
           unsigned row,
           uint64_t server,
           unsigned delay)
{
  evidence->counts[side][row].delays[delay]++;
  if (side == EVIDENCE_NEW)
    evidence->groups[server % EVIDENCE_GROUPS].delays[delay]++;
}

void
front_evidence_add_pace (FrontEvidence *evidence, const EvidencePace *pace)
{
  add_delay (evidence, pace->side, PACE_ROUTE, pace->server,
             delay_class (pace->gap_ms, pace->usual_ms));
}

void
front_evidence_add_reading (FrontEvidence *evidence, const EvidenceReading *reading)
{
  double usual_ms = READING_TOLERANCE * reading->predicted_ms;

  if (reading->predicted_ms >= READING_MIN_MS)
    add_delay (evidence, reading->side, READING_ROUTE, reading->server,
               delay_class (fmax (reading->read_ms, usual_ms), usual_ms));
}

static void
merge_max (uint32_t *into, uint32_t value)
{
  if (value > *into)
    *into = value;
}

static void
count_merge (EvidenceCount *into, const EvidenceCount *other)
{
  merge_max (&into->answers, other->answers);
  merge_max (&into->failed, other->failed);
  for (unsigned i = 0; i < EVIDENCE_DELAYS; i++)
    merge_max (&into->delays[i], other->delays[i]);
}

static void
count_sum (EvidenceCount *into, const EvidenceCount *other)
{
  into->answers += other->answers;
  into->failed += other->failed;
  for (unsigned i = 0; i < EVIDENCE_DELAYS; i++)
    into->delays[i] += other->delays[i];
}

static void
loaded_sum (EvidenceLoaded *into, const EvidenceLoaded *other)
{
  into->answers += other->answers;
  into->failed += other->failed;
}

static void
for_each_count (FrontEvidence *into,
                const FrontEvidence *other,
                void (*apply) (EvidenceCount *, const EvidenceCount *))
{
  for (unsigned side = 0; side < EVIDENCE_SIDES; side++)
    {
      for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
        apply (&into->counts[side][i], &other->counts[side][i]);
    }
  for (unsigned i = 0; i < EVIDENCE_GROUPS; i++)
    apply (&into->groups[i], &other->groups[i]);
}

void
front_evidence_merge (FrontEvidence *into, const FrontEvidence *other)
{
  for_each_count (into, other, count_merge);
  for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
    {
      merge_max (&into->loaded[i].answers, other->loaded[i].answers);
      merge_max (&into->loaded[i].failed, other->loaded[i].failed);
    }
}

void
front_evidence_sum (FrontEvidence *into, const FrontEvidence *other)
{
  for_each_count (into, other, count_sum);
  for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
    loaded_sum (&into->loaded[i], &other->loaded[i]);
}

uint32_t
evidence_count_late (const EvidenceCount *count, unsigned delay)
{
  uint32_t late = 0;

  for (unsigned i = delay; i < EVIDENCE_DELAYS; i++)
    late += count->delays[i];
  return late;
}

static double
share (uint32_t part, uint32_t all)
{
  return all ? (double)part / all : 0;
}

/* Number of delays: of answers that didn't fail, and of streams. */
static uint32_t
count_delays (const EvidenceCount *count)
{
  return evidence_count_late (count, 0);
}

/* Late and all answers of a group of servers. */
typedef struct
{
  uint32_t late;
  uint32_t answers;
} GroupShare;

static int
compare_shares (const void *left, const void *right)
{
  const GroupShare *a = left, *b = right;
  double difference = share (a->late, a->answers) - share (b->late, b->answers);

  return (difference > 0) - (difference < 0);
}

/* True if the better half of the groups of servers has more late answers than usual, too. */
static bool
is_spread (const FrontEvidence *evidence, unsigned delay)
{
  EvidenceCount old_total = front_evidence_total (evidence, EVIDENCE_OLD);
  double usual = share (evidence_count_late (&old_total, delay), count_delays (&old_total));
  GroupShare shares[EVIDENCE_GROUPS], all = { 0 }, better = { 0 };
  unsigned groups = 0;

  for (unsigned i = 0; i < EVIDENCE_GROUPS; i++)
    {
      GroupShare group = { .late = evidence_count_late (&evidence->groups[i], delay),
                           .answers = count_delays (&evidence->groups[i]) };

      if (group.answers == 0)
        continue;
      shares[groups++] = group;
      all.late += group.late;
      all.answers += group.answers;
    }
  qsort (shares, groups, sizeof *shares, compare_shares);
  for (unsigned i = 0; i < (groups + 1) / 2; i++)
    {
      better.late += shares[i].late;
      better.answers += shares[i].answers;
    }
  return share (better.late, better.answers) - usual
         >= LATE_SPREAD * (share (all.late, all.answers) - usual);
}

/* Compares the share of answers from one class on with that of the old version's from the class
 * before: a version that is slower by less than a class is good enough. */
static bool
count_is_late (const EvidenceCount *new_count,
               const EvidenceCount *old_count,
               unsigned delay,
               EvidenceThreshold threshold)
{
  uint32_t late_min = threshold == EVIDENCE_DOUBT ? DOUBT_MIN : LATE_MIN;
  uint32_t late = evidence_count_late (new_count, delay);
  double answers = count_delays (new_count);
  double usual
      = (evidence_count_late (old_count, delay - 1) + 1.0) / (count_delays (old_count) + 2.0);
  double deviations = threshold == EVIDENCE_DOUBT || answers < LATE_ANSWERS_MIN
                          ? LATE_DEVIATIONS_FEW
                          : LATE_DEVIATIONS;
  double chance = deviations * sqrt (answers * usual * (1 - usual));

  return late >= late_min && late - usual * answers > fmax (LATE_MARGIN * answers, chance);
}

/* The class from which on the new version's answers are late; EVIDENCE_DELAYS: they aren't. */
static unsigned
late_class (const FrontEvidence *evidence,
            const EvidenceCount *new_count,
            const EvidenceCount *old_count,
            EvidenceThreshold threshold)
{
  unsigned delay = 1;

  while (
      delay < EVIDENCE_DELAYS
      && !(count_is_late (new_count, old_count, delay, threshold) && is_spread (evidence, delay)))
    delay++;
  return delay;
}

/* Where a fifth or more usually fails, hardly any share is WORSE_FACTOR times larger: then a
 * version is bad that fails half of what is usually served, and more than chance brings. */
static double
bound_beside_failures (double usual, uint32_t answers, double deviations)
{
  double chance = deviations * sqrt (usual * (1 - usual) / fmax (answers, 1));

  return usual + fmax ((1 - usual) / 2, chance);
}

static bool
fails (const EvidenceCount *new_count, const EvidenceCount *old_count, EvidenceThreshold threshold)
{
  bool is_doubt = threshold == EVIDENCE_DOUBT;
  uint32_t failed_min = is_doubt ? DOUBT_MIN : FAILED_MIN;
  double deviations = is_doubt ? FAILED_DEVIATIONS_DOUBT : FAILED_DEVIATIONS;
  double usual = share (old_count->failed, old_count->answers);
  double guessed = (old_count->failed + 1.0) / (old_count->answers + 2.0);
  double bound = fmin (usual * WORSE_FACTOR + FAILED_MARGIN,
                       bound_beside_failures (guessed, new_count->answers, deviations));

  return new_count->failed >= failed_min && share (new_count->failed, new_count->answers) > bound;
}

/* Some servers of the new version may fail for reasons of their own, loaded or not: it is to blame
 * only if loaded ones fail more often than its others. */
static bool
fails_loaded (const EvidenceLoaded *loaded,
              const EvidenceCount *new_count,
              const EvidenceCount *old_count)
{
  uint32_t others = new_count->answers - loaded->answers;
  uint32_t others_failed = new_count->failed - loaded->failed;
  double usual
      = fmax (share (old_count->failed, old_count->answers), share (others_failed, others));

  double bound = fmin (usual * WORSE_FACTOR + LOADED_MARGIN,
                       bound_beside_failures (usual, loaded->answers, FAILED_DEVIATIONS));

  return loaded->answers >= LOADED_MIN && loaded->failed >= FAILED_MIN
         && share (loaded->failed, loaded->answers) > bound;
}

static EvidenceLoaded
loaded_of (const FrontEvidence *evidence, unsigned route)
{
  EvidenceLoaded total = { 0 };

  if (route < EVIDENCE_ROUTES)
    return evidence->loaded[route];
  for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
    loaded_sum (&total, &evidence->loaded[i]);
  return total;
}

static EvidenceFinding
judge_route (const FrontEvidence *evidence, unsigned route, EvidenceThreshold threshold)
{
  bool is_all = route == EVIDENCE_ROUTES;
  EvidenceCount new_count = is_all ? front_evidence_total (evidence, EVIDENCE_NEW)
                                   : evidence->counts[EVIDENCE_NEW][route];
  EvidenceCount old_count = is_all ? front_evidence_total (evidence, EVIDENCE_OLD)
                                   : evidence->counts[EVIDENCE_OLD][route];
  EvidenceLoaded loaded = loaded_of (evidence, route);
  EvidenceFinding finding = { .route = route };

  if (fails (&new_count, &old_count, threshold))
    {
      finding.verdict = EVIDENCE_FAILS;
      return finding;
    }
  if (fails_loaded (&loaded, &new_count, &old_count))
    {
      finding.verdict = EVIDENCE_FAILS_LOADED;
      return finding;
    }
  finding.delay = late_class (evidence, &new_count, &old_count, threshold);
  if (finding.delay < EVIDENCE_DELAYS)
    finding.verdict = EVIDENCE_SLOW;
  return finding;
}

EvidenceFinding
front_evidence_judge (const FrontEvidence *evidence, EvidenceThreshold threshold)
{
  EvidenceCount new_total = front_evidence_total (evidence, EVIDENCE_NEW);
  EvidenceFinding finding = { .route = EVIDENCE_ROUTES };

  if (threshold == EVIDENCE_DOUBT && new_total.answers == 1 && new_total.failed == 1)
    {
      finding.verdict = EVIDENCE_FAILS;
      return finding;
    }
  for (unsigned i = 0; i <= EVIDENCE_ROUTES && finding.verdict == EVIDENCE_FINE; i++)
    finding = judge_route (evidence, i, threshold);
  return finding;
}

bool
front_evidence_is_bad (const FrontEvidence *evidence, EvidenceThreshold threshold)
{
  return front_evidence_judge (evidence, threshold).verdict != EVIDENCE_FINE;
}

const char *
evidence_verdict_name (EvidenceVerdict verdict)
{
  static const char *const names[EVIDENCE_VERDICTS] = {
    [EVIDENCE_FINE] = "fine",
    [EVIDENCE_FAILS] = "fails",
    [EVIDENCE_SLOW] = "slow",
    [EVIDENCE_FAILS_LOADED] = "fails_loaded",
  };

  return names[verdict];
}

EvidenceCount
front_evidence_total (const FrontEvidence *evidence, EvidenceSide side)
{
  EvidenceCount total = { 0 };

  for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
    count_sum (&total, &evidence->counts[side][i]);
  return total;
}

EvidenceLoaded
front_evidence_loaded (const FrontEvidence *evidence)
{
  return loaded_of (evidence, EVIDENCE_ROUTES);
}

uint32_t
front_evidence_answers (const FrontEvidence *evidence, EvidenceSide side)
{
  return front_evidence_total (evidence, side).answers;
}
