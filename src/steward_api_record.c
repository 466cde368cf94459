/**
 * Operators' calls that read records: the audit trail, usage, roll-outs.
 */
#include "bill.h"
#include "steward_call.h"
#include "steward_usage.h"
#include <string.h>

/* Entries in one answer. */
#define LIST_DEFAULT 200
#define LIST_MAX     10000

typedef struct json_object Json;

void
steward_api_audit (StewardCall *call)
{
  const char *from = steward_call_query (call, "from");
  Json *answer;
  int64_t limit;
  Status st = { 0 };

  if (!steward_call_number (call, "limit", 1, LIST_MAX, LIST_DEFAULT, &limit))
    return;
  if (steward_audit_list (call->s->platform, from == NULL ? "" : from, (size_t)limit,
                          STEWARD_TABLE_TIMEOUT_MS, &answer, &st)
      == STATUS_OK)
    steward_call_done (call, answer);
  else
    steward_call_unavailable (call, &st);
}

void
steward_api_usage (StewardCall *call)
{
  const char *team = steward_call_query (call, "team");
  Json *answer;
  Status st = { 0 };

  if (team != NULL && !config_name_valid (team))
    (void)steward_call_error (call, MHD_HTTP_BAD_REQUEST, "invalid", "team: expected a name");
  else if (steward_usage (call->s->platform, team, &answer, &st) == STATUS_OK)
    steward_call_done (call, answer);
  else
    steward_call_unavailable (call, &st);
}

static Json *
rollout_json (const Config *config, const ConfigRollout *rollout)
{
  Json *obj = json_object_new_object ();
  const char *from = config->versions[rollout->from].name;
  const char *to = config->versions[rollout->to].name;
  double share = rollout->stage < rollout->stage_count ? rollout->stages[rollout->stage] : 0;

  json_object_object_add (obj, "model",
                          json_object_new_string (config->models[rollout->model].name));
  json_object_object_add (obj, "from", json_object_new_string (from));
  json_object_object_add (obj, "to", json_object_new_string (to));
  json_object_object_add (obj, "state",
                          json_object_new_string (config_rollout_state_name (rollout->state)));
  json_object_object_add (obj, "stage", json_object_new_int64 ((int64_t)rollout->stage));
  json_object_object_add (obj, "stages", json_object_new_int64 ((int64_t)rollout->stage_count));
  json_object_object_add (obj, "share", json_object_new_double (share));
  return obj;
}

void
steward_api_rollouts (StewardCall *call)
{
  Config *config = steward_document_config (&call->s->document);
  Json *rollouts = json_object_new_array ();
  Json *answer = json_object_new_object ();

  for (size_t i = 0; config != NULL && i < config->rollout_count; i++)
    json_object_array_add (rollouts, rollout_json (config, &config->rollouts[i]));
  config_unref (config);
  json_object_object_add (answer, "rollouts", rollouts);
  steward_call_done (call, answer);
}
