/**
 * Reference counting of a parsed configuration, and look-ups in it.
 */
#include "config_parse.h"
#include "util_assert.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *const config_version_states[] = {
  [VERSION_CANDIDATE] = "candidate",
  [VERSION_ACTIVE] = "active",
  [VERSION_WITHDRAWN] = "withdrawn",
};

const char *const config_rollout_states[] = {
  [ROLLOUT_RUNNING] = "running",
  [ROLLOUT_PAUSED] = "paused",
  [ROLLOUT_DONE] = "done",
  [ROLLOUT_BACKED_OUT] = "backed_out",
};

const char *
config_version_state_name (VersionState state)
{
  return config_version_states[state];
}

const char *
config_rollout_state_name (RolloutState state)
{
  return config_rollout_states[state];
}

Config *
config_ref (Config *config)
{
  int before = __atomic_fetch_add (&config->refs, 1, __ATOMIC_RELAXED);

  INVARIANT (before > 0, "number=%lld refs=%d", (long long)config->number, before);
  return config;
}

static void
free_models (Config *config)
{
  for (size_t i = 0; i < config->model_count; i++)
    {
      free (config->models[i].name);
      free (config->models[i].versions);
    }
  free (config->models);
  for (size_t i = 0; i < config->version_count; i++)
    free (config->versions[i].name);
  free (config->versions);
}

static void
free_servers (Config *config)
{
  for (size_t i = 0; i < config->server_count; i++)
    {
      ConfigServer *server = &config->servers[i];

      free (server->name);
      free (server->address);
      free (server->failure_domain);
      free (server->versions);
      free (server->service);
    }
  free (config->servers);
}

static void
free_teams (Config *config)
{
  for (size_t i = 0; i < config->team_count; i++)
    {
      ConfigTeam *team = &config->teams[i];

      free (team->name);
      free (team->key_hash);
      free (team->allowed);
      free (team->services);
    }
  free (config->teams);
}

static void
free_config (Config *config)
{
  free_models (config);
  free_servers (config);
  free_teams (config);
  for (size_t i = 0; i < config->service_count; i++)
    free (config->services[i].name);
  free (config->services);
  for (size_t i = 0; i < config->class_count; i++)
    {
      free (config->classes[i].name);
      free (config->classes[i].stages);
    }
  free (config->classes);
  for (size_t i = 0; i < config->rollout_count; i++)
    free (config->rollouts[i].stages);
  free (config->rollouts);
  free (config->text);
  free (config);
}

void
config_unref (Config *config)
{
  int before;

  if (config == NULL)
    return;
  before = __atomic_fetch_sub (&config->refs, 1, __ATOMIC_ACQ_REL);
  INVARIANT (before > 0, "number=%lld refs=%d", (long long)config->number, before);
  if (before == 1)
    free_config (config);
}

/** Binary search in an array whose entries are sorted by name; name_offset is the offset of the
 *  name's pointer in an entry. */
static int
find_name (const void *entries, size_t count, size_t size, size_t name_offset, const char *name)
{
  size_t low = 0;
  size_t high = count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      const char *entry = (const char *)entries + middle * size + name_offset;
      int order = strcmp (name, *(char *const *)entry);

      if (order == 0)
        return (int)middle;
      if (order < 0)
        high = middle;
      else
        low = middle + 1;
    }
  return -1;
}

int
config_find_model (const Config *config, const char *name)
{
  return find_name (config->models, config->model_count, sizeof (ConfigModel),
                    offsetof (ConfigModel, name), name);
}

int
config_find_version (const Config *config, unsigned model, const char *name)
{
  const ConfigModel *m = &config->models[model];

  for (size_t i = 0; i < m->version_count; i++)
    if (strcmp (config->versions[m->versions[i]].name, name) == 0)
      return (int)m->versions[i];
  return -1;
}

int
config_find_team (const Config *config, const char *name)
{
  return find_name (config->teams, config->team_count, sizeof (ConfigTeam),
                    offsetof (ConfigTeam, name), name);
}

int
config_find_class (const Config *config, const char *name)
{
  return find_name (config->classes, config->class_count, sizeof (ConfigClass),
                    offsetof (ConfigClass, name), name);
}

int
config_find_service (const Config *config, const char *name)
{
  return find_name (config->services, config->service_count, sizeof (ConfigService),
                    offsetof (ConfigService, name), name);
}

int
config_find_server (const Config *config, const char *name)
{
  return find_name (config->servers, config->server_count, sizeof (ConfigServer),
                    offsetof (ConfigServer, name), name);
}

int
config_find_label (const Config *config, const char *label)
{
  const char *at = strchr (label, '@');
  char model[CONFIG_NAME_MAX + 1];
  int index;

  if (at == NULL || (size_t)(at - label) > CONFIG_NAME_MAX)
    return -1;
  memcpy (model, label, (size_t)(at - label));
  model[at - label] = '\0';
  index = config_find_model (config, model);
  return index < 0 ? -1 : config_find_version (config, (unsigned)index, at + 1);
}

void
config_label (const Config *config, unsigned version, char out[CONFIG_LABEL_SIZE])
{
  const ConfigVersion *v = &config->versions[version];

  snprintf (out, CONFIG_LABEL_SIZE, "%s@%s", config->models[v->model].name, v->name);
}

bool
config_name_valid (const char *name)
{
  size_t len = strlen (name);

  return len >= 1 && len <= CONFIG_NAME_MAX
         && strspn (name, "abcdefghijklmnopqrstuvwxyz0123456789._-") == len;
}
