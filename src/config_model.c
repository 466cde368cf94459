/**
 * Section "models": each model and its versions.
 */
#include "config_parse.h"
#include "util_field.h"
#include "util_memory.h"
#include <stdlib.h>

#define COST_MAX              1e6            /**< cost units per 1,000 tokens */
#define CONFIG_NUMBER_MAX     999999999999.0 /**< largest configuration number in "released" */
#define PRIOR_QUALITY_DEFAULT 0.5            /**< mean rating */

typedef struct
{
  struct json_object *versions;
} ModelFields;

typedef struct
{
  char *state;
  double cost_per_1k;
  int64_t released;
  double prior_quality;
} VersionFields;

static const FieldSpec model_specs[] = {
  { "versions", FIELD_OBJECT, true, offsetof (ModelFields, versions), 0, 0 },
};

static const FieldSpec version_specs[] = {
  { "state", FIELD_STRING, true, offsetof (VersionFields, state), 0, 0 },
  { "cost_per_1k", FIELD_NUMBER, true, offsetof (VersionFields, cost_per_1k), 0, COST_MAX },
  { "released", FIELD_INT, false, offsetof (VersionFields, released), 0, CONFIG_NUMBER_MAX },
  { "prior_quality", FIELD_NUMBER, false, offsetof (VersionFields, prior_quality), 0, 1 },
};

static void
read_version (ConfigParser *parser, const char *name, struct json_object *entry, const char *path)
{
  Config *config = parser->config;
  ConfigModel *model = &config->models[config->model_count - 1];
  ConfigVersion *version = &config->versions[config->version_count];
  VersionFields fields = { .prior_quality = PRIOR_QUALITY_DEFAULT };
  int state;

  field_read (version_specs, sizeof version_specs / sizeof version_specs[0], entry, &fields, path,
              parser->list);
  state = fields.state == NULL
              ? 0
              : config_enum_index (config_version_states, CONFIG_VERSION_STATES, fields.state);
  if (state < 0)
    config_enum_error (parser, path, "state", config_version_states, CONFIG_VERSION_STATES);
  free (fields.state);
  *version = (ConfigVersion){
    .index = (unsigned)config->version_count++,
    .model = model->index,
    .name = memory_strdup (name),
    .state = state < 0 ? VERSION_WITHDRAWN : (VersionState)state,
    .cost_per_1k = fields.cost_per_1k,
    .released = fields.released,
    .prior_quality = fields.prior_quality,
  };
  model->versions[model->version_count++] = version->index;
}

static void
read_model (ConfigParser *parser, const char *name, struct json_object *entry, const char *path)
{
  Config *config = parser->config;
  ConfigModel *model = &config->models[config->model_count];
  ModelFields fields = { 0 };
  char versions_path[CONFIG_PATH_MAX];
  size_t count;

  *model = (ConfigModel){
    .index = (unsigned)config->model_count++,
    .name = memory_strdup (name),
  };
  field_read (model_specs, sizeof model_specs / sizeof model_specs[0], entry, &fields, path,
              parser->list);
  count = config_entry_count (fields.versions);
  model->versions = memory_array (count + 1, sizeof *model->versions);
  config->versions
      = memory_grow (config->versions, config->version_count + count + 1, sizeof *config->versions);
  config_path (versions_path, path, "versions");
  config_each_entry (parser, fields.versions, versions_path, read_version);
}

void
config_models_read (ConfigParser *parser, struct json_object *section)
{
  Config *config = parser->config;

  config->models = memory_array (config_entry_count (section) + 1, sizeof *config->models);
  config_each_entry (parser, section, "models", read_model);
  if (config->version_count > CONFIG_VERSIONS_MAX)
    check_add (parser->list, "models", "expected at most %d versions over all models, found %zu",
               CONFIG_VERSIONS_MAX, config->version_count);
}
