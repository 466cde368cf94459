/**
 * Section "classes": request classes, each with a cascade of models.
 */
#include "config_parse.h"
#include "util_field.h"
#include "util_memory.h"
#include <stdlib.h>

#define DEADLINE_MAX_MS 86400000 /**< a day */
typedef struct
{
  struct json_object *stages;
  double quality_target;
  int64_t deadline_ms;
  bool idempotent;
} ClassFields;

static const FieldSpec class_specs[] = {
  { "stages", FIELD_ARRAY, true, offsetof (ClassFields, stages), 0, 0 },
  { "quality_target", FIELD_NUMBER, true, offsetof (ClassFields, quality_target), 0, 1 },
  { "deadline_ms", FIELD_INT, false, offsetof (ClassFields, deadline_ms), 0, DEADLINE_MAX_MS },
  { "idempotent", FIELD_BOOL, true, offsetof (ClassFields, idempotent), 0, 0 },
};

static void
read_stages (ConfigParser *parser, const char *path, ConfigClass *class, struct json_object *stages)
{
  char member[CONFIG_PATH_MAX];
  size_t count;
  const char **names = config_strings (parser, stages, path, "stages", &count);

  config_path (member, path, "stages");
  if (stages != NULL && (count < 1 || count > CONFIG_STAGES_MAX))
    check_add (parser->list, member, "expected 1 to %d models, found %zu", CONFIG_STAGES_MAX,
               count);
  class->stages = memory_array (count + 1, sizeof *class->stages);
  for (size_t i = 0; i < count; i++)
    {
      int model = config_find_model (parser->config, names[i]);

      if (model >= 0)
        class->stages[class->stage_count++] = (unsigned)model;
      else
        check_add (parser->list, member, "expected the name of an entry in models, found \"%s\"",
                   config_name_valid (names[i]) ? names[i] : "?");
    }
  free (names);
}

static void
read_class (ConfigParser *parser, const char *name, struct json_object *entry, const char *path)
{
  Config *config = parser->config;
  ConfigClass *class = &config->classes[config->class_count];
  ClassFields fields = { 0 };

  field_read (class_specs, sizeof class_specs / sizeof class_specs[0], entry, &fields, path,
              parser->list);
  if (config_find_model (config, name) >= 0)
    check_add (parser->list, path, "expected a name of its own; models.%s has it too", name);
  *class = (ConfigClass){
    .index = (unsigned)config->class_count++,
    .name = memory_strdup (name),
    .quality_target = fields.quality_target,
    .deadline_ms = fields.deadline_ms,
    .idempotent = fields.idempotent,
  };
  read_stages (parser, path, class, fields.stages);
}

void
config_classes_read (ConfigParser *parser, struct json_object *section)
{
  Config *config = parser->config;

  config->classes = memory_array (config_entry_count (section) + 1, sizeof *config->classes);
  config_each_entry (parser, section, "classes", read_class);
}
