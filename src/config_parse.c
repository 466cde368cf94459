/**
 * Reads a configuration document: the sections in an order in which each refers only to sections
 * read before it.
 */
#include "config_parse.h"
#include "util_field.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SHOWN_NAME_MAX 48 /**< bytes, with the final NUL */
typedef struct
{
  struct json_object *models;
  struct json_object *backend_servers;
  struct json_object *services;
  struct json_object *classes;
  struct json_object *teams;
  struct json_object *rollouts;
} Sections;

static const FieldSpec section_specs[] = {
  { "models", FIELD_OBJECT, false, offsetof (Sections, models), 0, 0 },
  { "backend_servers", FIELD_OBJECT, false, offsetof (Sections, backend_servers), 0, 0 },
  { "services", FIELD_OBJECT, false, offsetof (Sections, services), 0, 0 },
  { "classes", FIELD_OBJECT, false, offsetof (Sections, classes), 0, 0 },
  { "teams", FIELD_OBJECT, false, offsetof (Sections, teams), 0, 0 },
  { "rollouts", FIELD_OBJECT, false, offsetof (Sections, rollouts), 0, 0 },
};

void
config_path (char out[CONFIG_PATH_MAX], const char *parent, const char *name)
{
  snprintf (out, CONFIG_PATH_MAX, "%s%s%s", parent, parent[0] == '\0' ? "" : ".", name);
}

void
config_path_index (char out[CONFIG_PATH_MAX], const char *parent, const char *name, size_t index)
{
  snprintf (out, CONFIG_PATH_MAX, "%s.%s[%zu]", parent, name, index);
}

size_t
config_entry_count (struct json_object *section)
{
  return section == NULL ? 0 : (size_t)json_object_object_length (section);
}

/** A name as shown in an error message: truncated, and with control characters replaced. */
static const char *
shown_name (const char *name, char out[SHOWN_NAME_MAX])
{
  snprintf (out, SHOWN_NAME_MAX, "%s", name);
  for (char *s = out; *s != '\0'; s++)
    if (*s < ' ' || *s > '~')
      *s = '?';
  return out;
}

static void
read_entry (ConfigParser *parser,
            const char *name,
            struct json_object *entry,
            const char *parent,
            ConfigEntryReader reader)
{
  char path[CONFIG_PATH_MAX];
  char shown[SHOWN_NAME_MAX];
  struct json_object *empty = NULL;

  config_path (path, parent, shown_name (name, shown));
  if (!config_name_valid (name))
    check_add (parser->list, path, "expected a name of 1 to %d of a-z 0-9 . _ -", CONFIG_NAME_MAX);
  if (!json_object_is_type (entry, json_type_object))
    {
      check_add (parser->list, path, "expected an object, found %s",
                 json_type_to_name (json_object_get_type (entry)));
      empty = json_object_new_object ();
      entry = empty;
    }
  reader (parser, name, entry, path);
  json_object_put (empty);
}

void
config_each_entry (ConfigParser *parser,
                   struct json_object *section,
                   const char *path,
                   ConfigEntryReader reader)
{
  const char **names;
  size_t count;

  if (section == NULL)
    return;
  names = config_sorted_names (section, &count);
  for (size_t i = 0; i < count; i++)
    read_entry (parser, names[i], json_object_object_get (section, names[i]), path, reader);
  free (names);
}

static bool
listed (const char *const *strings, size_t count, const char *text)
{
  return config_enum_index (strings, count, text) >= 0;
}

const char **
config_strings (ConfigParser *parser,
                struct json_object *array,
                const char *path,
                const char *name,
                size_t *count)
{
  size_t len = array == NULL ? 0 : json_object_array_length (array);
  const char **strings = memory_array (len + 1, sizeof *strings);

  *count = 0;
  for (size_t i = 0; i < len; i++)
    {
      struct json_object *element = json_object_array_get_idx (array, i);
      const char *text = json_object_get_string (element);
      char element_path[CONFIG_PATH_MAX];

      config_path_index (element_path, path, name, i);
      if (!json_object_is_type (element, json_type_string))
        check_add (parser->list, element_path, "expected a string, found %s",
                   json_type_to_name (json_object_get_type (element)));
      else if (listed (strings, *count, text))
        check_add (parser->list, element_path, "expected each entry once");
      else
        strings[(*count)++] = text;
    }
  return strings;
}

int
config_enum_index (const char *const *names, size_t count, const char *text)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (names[i], text) == 0)
      return (int)i;
  return -1;
}

void
config_enum_error (ConfigParser *parser,
                   const char *path,
                   const char *name,
                   const char *const *names,
                   size_t count)
{
  char member[CONFIG_PATH_MAX];
  Buffer expected = { 0 };

  config_path (member, path, name);
  for (size_t i = 0; i < count; i++)
    buffer_printf (&expected, "%s\"%s\"", i == 0 ? "" : ", ", names[i]);
  check_add (parser->list, member, "expected one of %s", expected.data);
  buffer_free (&expected);
}

int
config_label_read (ConfigParser *parser, const char *path, const char *label)
{
  int version = config_find_label (parser->config, label);
  char shown[SHOWN_NAME_MAX];

  if (version < 0)
    check_add (parser->list, path, "expected MODEL@VERSION of a version in models, found \"%s\"",
               shown_name (label, shown));
  return version;
}

static void
read_sections (ConfigParser *parser, struct json_object *root)
{
  Sections sections = { 0 };

  field_read (section_specs, sizeof section_specs / sizeof section_specs[0], root, &sections, "",
              parser->list);
  config_models_read (parser, sections.models);
  config_services_read (parser, sections.services);
  config_servers_read (parser, sections.backend_servers);
  config_classes_read (parser, sections.classes);
  config_teams_read (parser, sections.teams);
  config_rollouts_read (parser, sections.rollouts);
}

Config *
config_parse (const char *text, size_t len, int64_t number, CheckList *list)
{
  unsigned errors = list->count;
  struct json_object *root = config_json_parse (text, len, list);
  ConfigParser parser = { .list = list };

  if (list->count > errors)
    return NULL;
  if (!json_object_is_type (root, json_type_object))
    {
      check_add (list, "", "expected an object");
      json_object_put (root);
      return NULL;
    }
  parser.config = memory_alloc (sizeof *parser.config);
  parser.config->refs = 1;
  parser.config->number = number;
  parser.config->text = config_json_text (root);
  read_sections (&parser, root);
  json_object_put (root);
  if (list->count > errors)
    {
      config_unref (parser.config);
      return NULL;
    }
  return parser.config;
}
