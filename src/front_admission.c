#include "front_admission.h"
#include "front_urgency.h"

/* Callers wait as told for at most this part of the time that they have left. */
#define ACCEPTED_SHARE (1.0 / 3)
/* Shares of a wait by which the least urgent rank, and chance, make it longer. */
#define RANK_SHARE   0.25
#define SPREAD_SHARE 0.25
#define WAIT_MIN_MS  50.0

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
