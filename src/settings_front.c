#include "settings_front.h"
#include "settings_common.h"
#include "util_memory.h"
#include <stdlib.h>

#define STOP_DEFAULT_S          8.0
#define RETRY_SHARE_DEFAULT     0.5  /**< retries per request */
#define RETRY_EXTRA_DEFAULT     20.0 /**< retries per window */
#define RETRY_WINDOW_DEFAULT_S  10.0
#define REUSE_WINDOW_DEFAULT_S  6.0
#define SESSION_DEFAULT_S       5.0
#define CONFIG_APPLY_DEFAULT_MS 2000.0
#define CONFIG_APPLY_MIN_MS     1000.0
#define CONFIG_APPLY_MAX_MS     3600000.0 /**< an hour */
#define COLD_OVERAGE_DEFAULT    1.0       /**< multiple of a cold server's rate */
#define COLD_OVERAGE_MAX        100.0     /**< multiple of a cold server's rate */
#define COLD_SLACK_MAX          1000.0    /**< requests */
#define SECONDS_MAX             86400.0   /**< a day */
#define KEEP_CONNECTIONS_MAX    60000.0   /**< a minute: servers close idle ones sooner */
#define DESCRIPTORS_MAX         1000000   /**< far above what a process may open */
#define LINK_MBPS_MAX           1e6       /**< a terabit a second */
#define MEMORY_MAX_MB           1e6       /**< a terabyte */
#define CONTENTION_RATIO_MAX    1000.0    /**< far above any two objectives of one service */

typedef struct
{
  SettingsFront settings;
  struct json_object *seeds;
} FrontDraft;

#define FRONT_TEXT(label, member)                                                                  \
  SETTINGS_TEXT (label, offsetof (FrontDraft, settings.member), SETTINGS_NAME_MAX)
#define FRONT_NUMBER(label, member, upper)                                                         \
  {                                                                                                \
    .name = (label), .type = FIELD_NUMBER, .offset = offsetof (FrontDraft, settings.member),       \
    .min = 0, .max = (upper)                                                                       \
  }

static const FieldSpec specs[] = {
  FRONT_TEXT ("vm", vm),
  FRONT_TEXT ("failure_domain", failure_domain),
  FRONT_TEXT ("ip", ip),
  FRONT_TEXT ("callers", callers),
  FRONT_TEXT ("ready", ready),
  FRONT_TEXT ("control", control),
  FRONT_TEXT ("store", store),
  SETTINGS_INT ("peer_port", offsetof (FrontDraft, settings.peer_port), 1, SETTINGS_PORT_MAX),
  { .name = "seeds", .type = FIELD_ARRAY, .offset = offsetof (FrontDraft, seeds) },
  FRONT_NUMBER ("stop_s", stop_s, SECONDS_MAX),
  FRONT_NUMBER ("retry_share", retry_share, 1),
  FRONT_NUMBER ("retry_extra", retry_extra, SECONDS_MAX),
  FRONT_NUMBER ("retry_window_s", retry_window_s, SECONDS_MAX),
  FRONT_NUMBER ("reuse_window_s", reuse_window_s, SECONDS_MAX),
  FRONT_NUMBER ("cold_overage", cold_overage, COLD_OVERAGE_MAX),
  FRONT_NUMBER ("cold_slack", cold_slack, COLD_SLACK_MAX),
  { .name = "config_apply_ms",
    .type = FIELD_NUMBER,
    .offset = offsetof (FrontDraft, settings.config_apply_ms),
    .min = CONFIG_APPLY_MIN_MS,
    .max = CONFIG_APPLY_MAX_MS },
  FRONT_NUMBER ("session_s", session_s, SECONDS_MAX),
  FRONT_NUMBER ("contention_ratio", contention_ratio, CONTENTION_RATIO_MAX),
  FRONT_NUMBER ("hedge_share", hedge_share, 1),
  FRONT_NUMBER ("keep_connections_ms", keep_connections_ms, KEEP_CONNECTIONS_MAX),
  FRONT_NUMBER ("link_mbps", link_mbps, LINK_MBPS_MAX),
  FRONT_NUMBER ("memory_mb", memory_mb, MEMORY_MAX_MB),
  SETTINGS_INT ("descriptors", offsetof (FrontDraft, settings.descriptors), 0, DESCRIPTORS_MAX),
};

static const SettingsFront defaults = {
  .stop_s = STOP_DEFAULT_S,
  .retry_share = RETRY_SHARE_DEFAULT,
  .retry_extra = RETRY_EXTRA_DEFAULT,
  .retry_window_s = RETRY_WINDOW_DEFAULT_S,
  .reuse_window_s = REUSE_WINDOW_DEFAULT_S,
  .cold_overage = COLD_OVERAGE_DEFAULT,
  .cold_slack = 0,
  .config_apply_ms = CONFIG_APPLY_DEFAULT_MS,
  .session_s = SESSION_DEFAULT_S,
};

static void
seeds_read (SettingsFront *settings, struct json_object *array, CheckList *list)
{
  size_t count = array ? json_object_array_length (array) : 0;

  for (size_t i = 0; i < count && settings->seed_count < SEEDS_MAX; i++)
    {
      struct json_object *seed = json_object_array_get_idx (array, i);

      if (json_object_is_type (seed, json_type_string))
        settings->seeds[settings->seed_count++] = memory_strdup (json_object_get_string (seed));
      else
        check_add (list, "seeds", "element %zu is not a text string", i);
    }
}

bool
settings_front_read (const char *path, SettingsFront *out, CheckList *list)
{
  unsigned before = list->count;
  struct json_object *obj = field_parse_file (path, list);
  FrontDraft draft = { .settings = defaults };

  *out = (SettingsFront){ 0 };
  if (!obj)
    return false;
  field_read (specs, sizeof specs / sizeof specs[0], obj, &draft, "", list);
  seeds_read (&draft.settings, draft.seeds, list);
  json_object_put (obj);
  if (list->count == before)
    {
      *out = draft.settings;
      return true;
    }
  settings_front_clear (&draft.settings);
  return false;
}

void
settings_front_clear (SettingsFront *settings)
{
  free (settings->vm);
  free (settings->failure_domain);
  free (settings->ip);
  free (settings->callers);
  free (settings->ready);
  free (settings->control);
  free (settings->store);
  for (unsigned i = 0; i < settings->seed_count; i++)
    free (settings->seeds[i]);
  *settings = (SettingsFront){ 0 };
}
