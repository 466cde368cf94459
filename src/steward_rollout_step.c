#include "steward_rollout_step.h"
#include "util_memory.h"
#include <json-c/json.h>

typedef struct json_object Json;

RolloutStep
rollout_step_due (const ConfigRollout *rollout, const RolloutStepInput *input)
{
  if (rollout->state != ROLLOUT_RUNNING)
    return ROLLOUT_STEP_NONE;
  if (input->braked || input->verdict == ROLLOUT_BRAKE)
    return ROLLOUT_STEP_BACK_OUT;
  if (input->verdict != ROLLOUT_NEXT_STAGE || !input->accepted || !input->ordered)
    return ROLLOUT_STEP_NONE;
  return rollout->stage + 1 < rollout->stage_count ? ROLLOUT_STEP_NEXT : ROLLOUT_STEP_DONE;
}

const char *
rollout_step_name (RolloutStep step)
{
  static const char *const names[] = { [ROLLOUT_STEP_NONE] = "none",
                                       [ROLLOUT_STEP_NEXT] = "next stage",
                                       [ROLLOUT_STEP_DONE] = "done",
                                       [ROLLOUT_STEP_BACK_OUT] = "back out" };

  return names[step];
}

static Json *
wrap (const char *name, Json *inner)
{
  Json *obj = json_object_new_object ();

  json_object_object_add (obj, name, inner);
  return obj;
}

static Json *
rollout_members (const ConfigRollout *rollout, RolloutStep step)
{
  if (step == ROLLOUT_STEP_NEXT)
    return wrap ("stage", json_object_new_int64 ((int64_t)rollout->stage + 1));
  return wrap ("state", json_object_new_string (config_rollout_state_name (
                            step == ROLLOUT_STEP_DONE ? ROLLOUT_DONE : ROLLOUT_BACKED_OUT)));
}

static Json *
active_version (const char *version)
{
  Json *state = wrap ("state", json_object_new_string (config_version_state_name (VERSION_ACTIVE)));

  return wrap ("versions", wrap (version, state));
}

char *
rollout_step_patch (const Config *config, const ConfigRollout *rollout, RolloutStep step)
{
  const char *model = config->models[rollout->model].name;
  Json *patch = wrap ("rollouts", wrap (model, rollout_members (rollout, step)));
  char *text;

  if (step == ROLLOUT_STEP_DONE)
    json_object_object_add (patch, "models",
                            wrap (model, active_version (config->versions[rollout->to].name)));
  text = memory_strdup (json_object_to_json_string_ext (patch, JSON_C_TO_STRING_PLAIN));
  json_object_put (patch);
  return text;
}
