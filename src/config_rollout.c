/**
 * Section "rollouts": the change of a model from one version to another, in stages with growing
 * shares of callers.
 */
#include "config_parse.h"
#include "util_field.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

typedef struct
{
  char *from;
  char *to;
  struct json_object *stages;
  int64_t stage;
  char *state;
} RolloutFields;

static const FieldSpec rollout_specs[] = {
  { "from", FIELD_STRING, true, offsetof (RolloutFields, from), 1, CONFIG_NAME_MAX },
  { "to", FIELD_STRING, true, offsetof (RolloutFields, to), 1, CONFIG_NAME_MAX },
  { "stages", FIELD_ARRAY, true, offsetof (RolloutFields, stages), 0, 0 },
  { "stage", FIELD_INT, false, offsetof (RolloutFields, stage), 0, CONFIG_STAGES_MAX - 1 },
  { "state", FIELD_STRING, false, offsetof (RolloutFields, state), 0, 0 },
};

/** Version index of a name within the model; 0 with an error if there is none. */
static unsigned
read_version_name (ConfigParser *parser,
                   const char *path,
                   const char *member,
                   int model,
                   const char *name)
{
  char member_path[CONFIG_PATH_MAX];
  int version;

  if (name == NULL || model < 0)
    return 0;
  version = config_find_version (parser->config, (unsigned)model, name);
  if (version >= 0)
    return (unsigned)version;
  config_path (member_path, path, member);
  check_add (parser->list, member_path, "expected a version of the model, found \"%s\"",
             config_name_valid (name) ? name : "?");
  return 0;
}

static void
read_stages (ConfigParser *parser,
             const char *path,
             ConfigRollout *rollout,
             struct json_object *stages)
{
  char member[CONFIG_PATH_MAX];
  size_t len = stages == NULL ? 0 : json_object_array_length (stages);
  double last = 0;

  rollout->stages = memory_array (len + 1, sizeof *rollout->stages);
  config_path (member, path, "stages");
  if (stages != NULL && (len < 1 || len > CONFIG_STAGES_MAX))
    check_add (parser->list, member, "expected 1 to %d shares, found %zu", CONFIG_STAGES_MAX, len);
  for (size_t i = 0; i < len; i++)
    {
      struct json_object *element = json_object_array_get_idx (stages, i);
      bool number = json_object_is_type (element, json_type_double)
                    || json_object_is_type (element, json_type_int);
      double share = number ? json_object_get_double (element) : 0;

      config_path_index (member, path, "stages", i);
      if (!number || !(share > last && share <= 1))
        check_add (parser->list, member, "expected a number above %g and up to 1", last);
      else
        last = share;
      rollout->stages[rollout->stage_count++] = share;
    }
}

static RolloutState
read_state (ConfigParser *parser, const char *path, const char *name)
{
  int state;

  if (name == NULL)
    return ROLLOUT_RUNNING;
  state = config_enum_index (config_rollout_states, CONFIG_ROLLOUT_STATES, name);
  if (state >= 0)
    return (RolloutState)state;
  config_enum_error (parser, path, "state", config_rollout_states, CONFIG_ROLLOUT_STATES);
  return ROLLOUT_PAUSED;
}

static void
check_stage (ConfigParser *parser, const char *path, const ConfigRollout *rollout)
{
  char member[CONFIG_PATH_MAX];

  config_path (member, path, "stage");
  if (rollout->stage_count > 0 && rollout->stage >= rollout->stage_count)
    check_add (parser->list, member, "expected an index into stages, 0 to %zu",
               rollout->stage_count - 1);
}

static void
read_rollout (ConfigParser *parser, const char *name, struct json_object *entry, const char *path)
{
  Config *config = parser->config;
  ConfigRollout *rollout = &config->rollouts[config->rollout_count];
  RolloutFields fields = { 0 };
  int model = config_find_model (config, name);

  field_read (rollout_specs, sizeof rollout_specs / sizeof rollout_specs[0], entry, &fields, path,
              parser->list);
  if (model < 0)
    check_add (parser->list, path, "expected the name of an entry in models");
  if (fields.from != NULL && fields.to != NULL && strcmp (fields.from, fields.to) == 0)
    check_add (parser->list, path, "expected from and to to be two versions");
  *rollout = (ConfigRollout){
    .index = (unsigned)config->rollout_count++,
    .model = model < 0 ? 0 : (unsigned)model,
    .from = read_version_name (parser, path, "from", model, fields.from),
    .to = read_version_name (parser, path, "to", model, fields.to),
    .state = read_state (parser, path, fields.state),
    .stage = (size_t)fields.stage,
  };
  read_stages (parser, path, rollout, fields.stages);
  check_stage (parser, path, rollout);
  free (fields.from);
  free (fields.to);
  free (fields.state);
}

void
config_rollouts_read (ConfigParser *parser, struct json_object *section)
{
  Config *config = parser->config;

  config->rollouts = memory_array (config_entry_count (section) + 1, sizeof *config->rollouts);
  config_each_entry (parser, section, "rollouts", read_rollout);
}
