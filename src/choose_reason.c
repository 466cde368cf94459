/**
 * Names of Reason and PlanBasis.
 */
#include "choose.h"

static const char *const reason_names[REASON_COUNT] = {
  [REASON_NONE] = "none",
  [REASON_UNKNOWN_MODEL] = "unknown_model",
  [REASON_UNKNOWN_VERSION] = "unknown_version",
  [REASON_NOT_ALLOWED] = "not_allowed",
  [REASON_VERSION_WITHDRAWN] = "version_withdrawn",
  [REASON_VERSION_BRAKED] = "version_braked",
  [REASON_NO_ALLOWED_VERSION] = "no_allowed_version",
  [REASON_NO_SERVER] = "no_server",
  [REASON_TARGET_UNREACHABLE] = "target_unreachable",
  [REASON_DEADLINE_PAST] = "deadline_past",
  [REASON_TEAM_LIMIT] = "team_limit",
  [REASON_OVERLOAD] = "overload",
  [REASON_QUARANTINED] = "quarantined",
  [REASON_NO_GRANT] = "no_grant",
  [REASON_STOPPING] = "stopping",
  [REASON_SPOOL_FULL] = "spool_full",
  [REASON_CLAIM_UNAVAILABLE] = "claim_unavailable",
};

static const char *const basis_names[] = {
  [PLAN_CONFIGURED] = "configured",
  [PLAN_LEARNED] = "learned",
  [PLAN_EXPLORING] = "exploring",
  [PLAN_UNRATED] = "unrated",
};

const char *
plan_basis_name (PlanBasis basis)
{
  if ((unsigned)basis >= sizeof basis_names / sizeof basis_names[0])
    return "unknown";
  return basis_names[basis];
}

const char *
reason_name (Reason reason)
{
  if ((unsigned)reason >= REASON_COUNT)
    return "unknown";
  return reason_names[reason];
}
