/**
 * Section "teams": who may call, what each team may use, and its limits.
 */
#include "config_parse.h"
#include "util_field.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define CONCURRENT_MAX   1000000 /**< requests in progress */
#define TOKENS_PER_S_MAX 1000000000
#define WEIGHT_MIN       0.001
#define WEIGHT_MAX       1000
#define WEIGHT_DEFAULT   1

typedef struct
{
  char *key_hash;
  struct json_object *allow;
  struct json_object *services;
  int64_t concurrent;
  int64_t tokens_per_s;
  double weight;
} TeamFields;

static const FieldSpec team_specs[] = {
  { "key_hash", FIELD_STRING, true, offsetof (TeamFields, key_hash), CONFIG_KEY_HASH_LEN,
    CONFIG_KEY_HASH_LEN },
  { "allow", FIELD_ARRAY, true, offsetof (TeamFields, allow), 0, 0 },
  { "services", FIELD_ARRAY, false, offsetof (TeamFields, services), 0, 0 },
  { "concurrent", FIELD_INT, false, offsetof (TeamFields, concurrent), 0, CONCURRENT_MAX },
  { "tokens_per_s", FIELD_INT, false, offsetof (TeamFields, tokens_per_s), 0, TOKENS_PER_S_MAX },
  { "weight", FIELD_NUMBER, false, offsetof (TeamFields, weight), WEIGHT_MIN, WEIGHT_MAX },
};

static void
check_key_hash (ConfigParser *parser, const char *path, const ConfigTeam *team)
{
  const Config *config = parser->config;
  char member[CONFIG_PATH_MAX];

  if (team->key_hash == NULL || strlen (team->key_hash) != CONFIG_KEY_HASH_LEN)
    return;
  config_path (member, path, "key_hash");
  if (strspn (team->key_hash, "0123456789abcdef") != CONFIG_KEY_HASH_LEN)
    check_add (parser->list, member, "expected %d hexadecimal digits in lower case",
               CONFIG_KEY_HASH_LEN);
  for (unsigned i = 0; i < team->index; i++)
    if (config->teams[i].key_hash != NULL
        && strcmp (config->teams[i].key_hash, team->key_hash) == 0)
      check_add (parser->list, member, "expected a key of its own; teams.%s has the same",
                 config->teams[i].name);
}

static void
allow_model (const Config *config, ConfigTeam *team, unsigned model)
{
  for (size_t i = 0; i < config->models[model].version_count; i++)
    team->allowed[config->models[model].versions[i]] = true;
}

static void
read_allow (ConfigParser *parser, const char *path, ConfigTeam *team, struct json_object *allow)
{
  const Config *config = parser->config;
  char member[CONFIG_PATH_MAX];
  size_t count;
  const char **names = config_strings (parser, allow, path, "allow", &count);

  config_path (member, path, "allow");
  team->allowed = memory_array (config->version_count + 1, sizeof *team->allowed);
  for (size_t i = 0; i < count; i++)
    {
      int model = config_find_model (config, names[i]);
      int version = config_find_label (config, names[i]);

      if (model >= 0)
        allow_model (config, team, (unsigned)model);
      else if (version >= 0)
        team->allowed[version] = true;
      else if (strchr (names[i], '@') != NULL)
        config_label_read (parser, member, names[i]);
      else
        check_add (parser->list, member,
                   "expected a MODEL or MODEL@VERSION of models, found \"%s\"",
                   config_name_valid (names[i]) ? names[i] : "?");
    }
  free (names);
}

static void
read_team_services (ConfigParser *parser,
                    const char *path,
                    ConfigTeam *team,
                    struct json_object *services)
{
  const Config *config = parser->config;
  char member[CONFIG_PATH_MAX];
  size_t count;
  const char **names = config_strings (parser, services, path, "services", &count);

  config_path (member, path, "services");
  team->services = memory_array (config->service_count + 1, sizeof *team->services);
  for (size_t i = 0; i < count; i++)
    {
      int service = config_find_service (config, names[i]);

      if (service >= 0)
        team->services[service] = true;
      else
        check_add (parser->list, member, "expected the name of an entry in services, found \"%s\"",
                   config_name_valid (names[i]) ? names[i] : "?");
    }
  free (names);
}

static void
read_team (ConfigParser *parser, const char *name, struct json_object *entry, const char *path)
{
  Config *config = parser->config;
  ConfigTeam *team = &config->teams[config->team_count];
  TeamFields fields = { .weight = WEIGHT_DEFAULT };

  field_read (team_specs, sizeof team_specs / sizeof team_specs[0], entry, &fields, path,
              parser->list);
  *team = (ConfigTeam){
    .index = (unsigned)config->team_count++,
    .name = memory_strdup (name),
    .key_hash = fields.key_hash,
    .concurrent = fields.concurrent,
    .tokens_per_s = fields.tokens_per_s,
    .weight = fields.weight,
  };
  check_key_hash (parser, path, team);
  read_allow (parser, path, team, fields.allow);
  read_team_services (parser, path, team, fields.services);
}

void
config_teams_read (ConfigParser *parser, struct json_object *section)
{
  Config *config = parser->config;

  config->teams = memory_array (config_entry_count (section) + 1, sizeof *config->teams);
  config_each_entry (parser, section, "teams", read_team);
}
