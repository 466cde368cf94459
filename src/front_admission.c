#include "front_admission.h"
#include "front_urgency.h"

/* Callers wait as told for at most this part of the time that they have left. */
#define ACCEPTED_SHARE (1.0 / 3)
/* Shares of a wait by which the least urgent rank, and chance, make it longer. */
#define RANK_SHARE   0.25
#define SPREAD_SHARE 0.25
#define WAIT_MIN_MS  50.0
/* Bounds while there is no configuration: at first a starting front fetches it within the first of
 * them; callers come back only once or twice, so they are told a longer time the longer it takes.
 */
#define STARTING_MIN_MS 400
#define STARTING_MAX_MS 2000

static double
rank_share (int64_t rank)
{
  if (rank <= 0)
    return 0;
  return rank < URGENCY_RANK_MAX ? (double)rank / URGENCY_RANK_MAX : 1;
}

int64_t
front_admission_refuse_ms (const AdmissionRequest *request)
{
  double excess_ms = request->begin_ms - (double)request->left_ms;
  double later = 1 + RANK_SHARE * rank_share (request->rank) + SPREAD_SHARE * request->spread;
  double longest_ms = ACCEPTED_SHARE * (double)request->left_ms / (1 + RANK_SHARE + SPREAD_SHARE);

  if (excess_ms <= 0)
    return 0;
  if (excess_ms < WAIT_MIN_MS)
    excess_ms = WAIT_MIN_MS;
  if (excess_ms > longest_ms)
    excess_ms = longest_ms;
  return excess_ms * later > 1 ? (int64_t)(excess_ms * later) : 1;
}

int64_t
front_admission_starting_ms (int64_t lacking_ms)
{
  if (lacking_ms < STARTING_MIN_MS)
    return STARTING_MIN_MS;
  return lacking_ms < STARTING_MAX_MS ? lacking_ms : STARTING_MAX_MS;
}
