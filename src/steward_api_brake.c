/**
 * Operators' call that raises a brake: it stops a version at once, also while the table service is
 * unavailable.
 */
#include "config.h"
#include "steward_brake.h"
#include "steward_call.h"
#include <stdio.h>
#include <string.h>

static const char *
result_name (ClusterBrakeResult result)
{
  static const char *const names[] = { [CLUSTER_BRAKE_ADDED] = "raised",
                                       [CLUSTER_BRAKE_KNOWN] = "known",
                                       [CLUSTER_BRAKE_RELEASED] = "released",
                                       [CLUSTER_BRAKE_INVALID] = "invalid",
                                       [CLUSTER_BRAKE_FULL] = "full" };

  return names[result];
}

static void
answer (StewardCall *call, const ClusterBrake *brake, ClusterBrakeResult result)
{
  struct json_object *obj;

  if (result != CLUSTER_BRAKE_ADDED && result != CLUSTER_BRAKE_KNOWN)
    {
      (void)steward_call_error (call, MHD_HTTP_CONFLICT, result_name (result),
                                "the brake can't be raised: %s", result_name (result));
      return;
    }
  obj = json_object_new_object ();
  json_object_object_add (obj, "state", json_object_new_string (result_name (result)));
  json_object_object_add (obj, "since", json_object_new_int64 (brake->since));
  steward_call_done (call, obj);
}

static bool
read_brake (StewardCall *call, const Config *config, ClusterBrake *out)
{
  const char *label = steward_call_text (call, "version");
  const char *why = steward_call_text (call, "why");
  int index = label == NULL ? -1 : config_find_label (config, label);

  if (index < 0)
    {
      (void)steward_call_error (call, MHD_HTTP_NOT_FOUND, "unknown_version",
                                "version: expected MODEL@VERSION of the configuration");
      return false;
    }
  const ConfigVersion *version = &config->versions[index];
  *out = (ClusterBrake){ .since = config->number };
  snprintf (out->model, sizeof out->model, "%s", config->models[version->model].name);
  snprintf (out->version, sizeof out->version, "%s", version->name);
  snprintf (out->by, sizeof out->by, "%s", call->operator->name);
  snprintf (out->why, sizeof out->why, "%s", why == NULL ? "" : why);
  return true;
}

void
steward_api_brake (StewardCall *call)
{
  Config *config = steward_document_config (&call->s->document);
  ClusterBrake brake;

  if (config == NULL)
    (void)steward_call_error (call, MHD_HTTP_CONFLICT, "no_configuration",
                              "there is no configuration yet");
  else if (read_brake (call, config, &brake))
    answer (call, &brake, steward_brake_raise (call->s, &brake));
  config_unref (config);
}
