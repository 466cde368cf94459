#include "steward_orders_state.h"
#include <string.h>

typedef struct json_object Json;

static Json *
label_json (const Config *config, unsigned version)
{
  char label[CONFIG_LABEL_SIZE];

  config_label (config, version, label);
  return json_object_new_string (label);
}

Json *
orders_desired (const Config *config, const ConfigServer *server, int64_t fence, bool in_force)
{
  Json *order = json_object_new_object ();
  Json *load = json_object_new_array ();
  Json *unload = json_object_new_array ();

  for (size_t i = 0; i < server->version_count; i++)
    {
      unsigned version = server->versions[i];
      bool withdrawn = config->versions[version].state == VERSION_WITHDRAWN;
      if (!withdrawn)
        json_object_array_add (load, label_json (config, version));
      else if (in_force)
        json_object_array_add (unload, label_json (config, version));
    }
  json_object_object_add (order, "fence", json_object_new_int64 (fence));
  json_object_object_add (order, "load", load);
  json_object_object_add (order, "unload", unload);
  return order;
}

static bool
contains (Json *array, const char *label)
{
  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      const char *found = json_object_get_string (json_object_array_get_idx (array, i));
      if (found != NULL && strcmp (found, label) == 0)
        return true;
    }
  return false;
}

/* True if models contains all of the labels, or none of them if listed is false. */
static bool
all_listed (Json *labels, Json *models, bool listed)
{
  for (size_t i = 0; i < json_object_array_length (labels); i++)
    if (contains (models, json_object_get_string (json_object_array_get_idx (labels, i))) != listed)
      return false;
  return true;
}

bool
orders_met (Json *desired, Json *report)
{
  Json *models;

  if (!json_object_object_get_ex (report, "models", &models)
      || !json_object_is_type (models, json_type_array))
    return false;
  return all_listed (json_object_object_get (desired, "load"), models, true)
         && all_listed (json_object_object_get (desired, "unload"), models, false);
}
