/**
 * The versions that may answer a request, by the team's permissions, version states, brakes,
 * roll-out shares and the session's version.
 */
#include "choose.h"

#include "util_assert.h"
#include "util_id.h"
#include <string.h>

#define TWO_TO_64 18446744073709551616.0

/** The last listed roll-out to this version, or NULL. */
static const ConfigRollout *
rollout_to (const Config *config, unsigned version)
{
  size_t i;

  for (i = config->rollout_count; i > 0; i--)
    {
      if (config->rollouts[i - 1].to == version)
        return &config->rollouts[i - 1];
    }
  return NULL;
}

static bool
rollout_open (const ConfigRollout *rollout)
{
  return rollout->state == ROLLOUT_RUNNING || rollout->state == ROLLOUT_PAUSED;
}

/** Why the version gets no new requests at all, or REASON_NONE. */
static Reason
version_exclusion (const Config *config, const bool *braked, unsigned version)
{
  const ConfigVersion *v = &config->versions[version];
  const ConfigRollout *rollout;

  if (v->state == VERSION_WITHDRAWN)
    return REASON_VERSION_WITHDRAWN;
  if (braked != NULL && braked[version])
    return REASON_VERSION_BRAKED;
  if (v->state != VERSION_CANDIDATE)
    return REASON_NONE;
  rollout = rollout_to (config, version);
  if (rollout != NULL && rollout->state == ROLLOUT_BACKED_OUT)
    return REASON_VERSION_WITHDRAWN;
  return REASON_NONE;
}

bool
choose_version_usable (const Config *config, const bool *braked, unsigned version)
{
  return version_exclusion (config, braked, version) == REASON_NONE;
}

double
choose_bucket (const ConfigModel *model, uint64_t caller)
{
  double position = (double)id_hash_string (model->name, caller) / TWO_TO_64;

  /* Rounding to double may give exactly 1, which is outside every share. */
  return position < 1.0 ? position : 0.0;
}

/** True if the roll-out is done, or if its current stage includes the caller. */
static bool
rollout_includes (const Config *config, const ConfigRollout *rollout, uint64_t caller)
{
  double share;

  if (rollout->state == ROLLOUT_DONE)
    return true;
  if (!rollout_open (rollout) || rollout->stage >= rollout->stage_count)
    return false;
  share = rollout->stages[rollout->stage];
  return choose_bucket (&config->models[rollout->model], caller) < share;
}

/** True if the version is open to callers whom no roll-out includes. */
static bool
version_generally_available (const Config *config, unsigned version)
{
  const ConfigRollout *rollout = rollout_to (config, version);

  if (rollout != NULL && rollout->state != ROLLOUT_DONE)
    return false;
  return rollout != NULL || config->versions[version].state == VERSION_ACTIVE;
}

/** Collects the reasons why versions are excluded, to report the reason if it is the same for
 *  all. */
typedef struct
{
  Reason reason;
  bool mixed;
} Exclusions;

static void
exclusions_add (Exclusions *exclusions, Reason reason)
{
  if (exclusions->reason == REASON_NONE)
    exclusions->reason = reason;
  if (exclusions->reason != reason)
    exclusions->mixed = true;
}

static Reason
exclusions_reason (const Exclusions *exclusions)
{
  if (exclusions->reason == REASON_NONE || exclusions->mixed)
    return REASON_NO_ALLOWED_VERSION;
  return exclusions->reason;
}

static bool
team_allows (const ChooseRequest *request, unsigned version)
{
  return request->config->teams[request->team].allowed[version];
}

/** The version that the model's latest roll-out selects for this caller: the new one if the current
 *  stage includes the caller, else the one that it replaces; -1 if that one can't be used. */
static int
version_by_rollout (const ChooseRequest *request, unsigned model)
{
  const Config *config = request->config;
  const ConfigRollout *rollout = NULL;
  size_t i;

  for (i = 0; i < config->rollout_count; i++)
    {
      if (config->rollouts[i].model == model)
        rollout = &config->rollouts[i];
    }
  if (rollout == NULL)
    return -1;
  if (rollout_includes (config, rollout, request->caller) && team_allows (request, rollout->to)
      && choose_version_usable (config, request->braked, rollout->to))
    return (int)rollout->to;
  if (team_allows (request, rollout->from)
      && choose_version_usable (config, request->braked, rollout->from))
    return (int)rollout->from;
  return -1;
}

/** Selects the version of a model that answers this caller. */
static Reason
version_for_model (const ChooseRequest *request, unsigned model, unsigned *out)
{
  const Config *config = request->config;
  const ConfigModel *m = &config->models[model];
  Exclusions exclusions = { .reason = REASON_NONE };
  bool allowed = false;
  int found = version_by_rollout (request, model);
  size_t i;

  if (found >= 0)
    {
      *out = (unsigned)found;
      return REASON_NONE;
    }
  for (i = 0; i < m->version_count; i++)
    {
      unsigned version = m->versions[i];
      Reason reason;

      if (!team_allows (request, version))
        continue;
      allowed = true;
      reason = version_exclusion (config, request->braked, version);
      if (reason == REASON_NONE && version_generally_available (config, version))
        {
          *out = version;
          return REASON_NONE;
        }
      if (reason != REASON_NONE)
        exclusions_add (&exclusions, reason);
    }
  return allowed ? exclusions_reason (&exclusions) : REASON_NOT_ALLOWED;
}

/** Looks up "MODEL@VERSION". */
static Reason
version_by_label (const Config *config, const char *name, unsigned *out)
{
  char model_name[CHOOSE_NAME_MAX];
  const char *at = strrchr (name, '@');
  int model, version;

  INVARIANT (at != NULL, "name=\"%s\"", name);
  if ((size_t)(at - name) >= sizeof model_name)
    return REASON_UNKNOWN_MODEL;
  memcpy (model_name, name, (size_t)(at - name));
  model_name[at - name] = '\0';
  model = config_find_model (config, model_name);
  if (model < 0)
    return REASON_UNKNOWN_MODEL;
  version = config_find_version (config, (unsigned)model, at + 1);
  if (version < 0)
    return REASON_UNKNOWN_VERSION;
  *out = (unsigned)version;
  return REASON_NONE;
}

/** Plans a version that the caller named itself. A candidate is available only to callers included
 *  in its roll-out; otherwise naming it would expose more callers to it than the stage allows. */
static Reason
plan_named_version (const ChooseRequest *request, ChoosePlan *plan)
{
  const Config *config = request->config;
  const ConfigRollout *rollout;
  unsigned version = 0;
  Reason reason = version_by_label (config, request->model, &version);

  if (reason != REASON_NONE)
    return reason;
  if (!team_allows (request, version))
    return REASON_NOT_ALLOWED;
  reason = version_exclusion (config, request->braked, version);
  if (reason != REASON_NONE)
    return reason;
  rollout = rollout_to (config, version);
  if (config->versions[version].state == VERSION_CANDIDATE
      && (rollout == NULL || !rollout_includes (config, rollout, request->caller)))
    return REASON_NOT_ALLOWED;
  plan->versions[plan->count++] = version;
  return REASON_NONE;
}

/** True if the requested model or class includes this model. */
static bool
name_includes_model (const ChooseRequest *request, unsigned model)
{
  const Config *config = request->config;
  int class_index = config_find_class (config, request->model);
  size_t i;

  if (class_index < 0)
    return config_find_model (config, request->model) == (int)model;
  for (i = 0; i < config->classes[class_index].stage_count; i++)
    {
      if (config->classes[class_index].stages[i] == model)
        return true;
    }
  return false;
}

/** Plans the version on which the session started. If it no longer exists or is withdrawn, the
 *  request is refused: switching to another version silently would break the guarantee that a
 *  session keeps its version. */
static Reason
plan_session (const ChooseRequest *request, ChoosePlan *plan)
{
  const Config *config = request->config;
  unsigned version;
  Reason reason;

  if (strchr (request->session_version, '@') == NULL)
    return REASON_UNKNOWN_VERSION;
  if (version_by_label (config, request->session_version, &version) != REASON_NONE)
    return REASON_VERSION_WITHDRAWN;
  if (!team_allows (request, version))
    return REASON_NOT_ALLOWED;
  if (strchr (request->model, '@') != NULL)
    {
      if (strcmp (request->model, request->session_version) != 0)
        return REASON_NOT_ALLOWED;
    }
  else if (!name_includes_model (request, config->versions[version].model))
    return REASON_NOT_ALLOWED;
  reason = version_exclusion (config, request->braked, version);
  if (reason != REASON_NONE)
    return reason;
  plan->versions[plan->count++] = version;
  return REASON_NONE;
}

static Reason
plan_class (const ChooseRequest *request, const ConfigClass *class, ChoosePlan *plan)
{
  Exclusions exclusions = { .reason = REASON_NONE };
  size_t i;

  for (i = 0; i < class->stage_count && plan->count < CHOOSE_STAGES_MAX; i++)
    {
      unsigned version = 0;
      Reason reason = version_for_model (request, class->stages[i], &version);

      if (reason == REASON_NONE)
        plan->versions[plan->count++] = version;
      else
        exclusions_add (&exclusions, reason);
    }
  return plan->count > 0 ? REASON_NONE : exclusions_reason (&exclusions);
}

/** Reduces the plan to one stage. Each stage of a cascade runs the request again, so a request that
 *  may run at most once gets only one. */
static void
plan_reduce_to_one (const Config *config, ChoosePlan *plan)
{
  size_t i;

  for (i = 0; i + 1 < plan->count; i++)
    {
      if (config->versions[plan->versions[i]].prior_quality >= plan->quality_target)
        break;
    }
  plan->versions[0] = plan->versions[i];
  plan->count = 1;
}

static Reason
plan_add_versions (const ChooseRequest *request, ChoosePlan *plan)
{
  const Config *config = request->config;
  int model;

  if (request->session_version != NULL)
    return plan_session (request, plan);
  if (plan->class_index >= 0)
    return plan_class (request, &config->classes[plan->class_index], plan);
  if (strchr (request->model, '@') != NULL)
    return plan_named_version (request, plan);
  model = config_find_model (config, request->model);
  if (model < 0)
    return REASON_UNKNOWN_MODEL;
  plan->count = 1;
  return version_for_model (request, (unsigned)model, &plan->versions[0]);
}

static bool
plan_idempotent (const ChooseRequest *request, const ChoosePlan *plan)
{
  if (request->idempotency != IDEMPOTENCY_DEFAULT)
    return request->idempotency == IDEMPOTENCY_YES;
  return plan->class_index < 0 || request->config->classes[plan->class_index].idempotent;
}

Reason
choose_candidates (const ChooseRequest *request, ChoosePlan *plan)
{
  const Config *config = request->config;
  Reason reason;
  size_t i;

  INVARIANT (request->team < config->team_count, "team=%u", request->team);
  *plan = (ChoosePlan){ .class_index = config_find_class (config, request->model) };
  if (request->deadline_ms != 0 && request->now_ms >= request->deadline_ms)
    return REASON_DEADLINE_PAST;
  if (plan->class_index >= 0)
    plan->quality_target = config->classes[plan->class_index].quality_target;
  plan->idempotent = plan_idempotent (request, plan);
  reason = plan_add_versions (request, plan);
  if (reason != REASON_NONE)
    {
      plan->count = 0;
      return reason;
    }
  plan->rated = plan->count > 1 && plan->idempotent;
  for (i = 0; i < plan->count; i++)
    {
      unsigned version = plan->versions[i];

      INVARIANT (team_allows (request, version), "team=%u version=%u", request->team, version);
      INVARIANT (choose_version_usable (config, request->braked, version), "version=%u", version);
    }
  return REASON_NONE;
}

Reason
choose_plan (const ChooseRequest *request, ChoosePlan *plan)
{
  Reason reason = choose_candidates (request, plan);

  if (reason == REASON_NONE && !plan->idempotent && plan->count > 1)
    plan_reduce_to_one (request->config, plan);
  return reason;
}
