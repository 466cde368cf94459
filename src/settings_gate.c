#include "choose_server.h"
#include "settings_common.h"
#include "util_memory.h"
#include <stdlib.h>

#define KIB INT64_C (1024)
#define MIB (1024 * KIB)

/* Bounds of the settings; sizes in bytes. */
#define STREAMS_MAX     100000
#define BODY_MAX        (1024.0 * MIB)
#define MEMORY_MIN      (16 * MIB)
#define MEMORY_MAX      (1024.0 * 1024 * MIB)
#define HEADER_MIN      KIB
#define HEADER_MAX      MIB
#define SPOOL_MIN       (64 * KIB)
#define SPOOL_MAX       (1024.0 * MIB)
#define POLICY_NAME_MAX 63
/* A process has room for one of the longest requests if it takes so many times its bytes. */
#define BODY_MEMORY_FACTOR 20

/* The settings while they are read, and the objects that are read in a second step. */
typedef struct
{
  SettingsGate settings;
  struct json_object *platform;
  struct json_object *callers;
  struct json_object *local;
  struct json_object *steward;
} GateDraft;

static const FieldSpec gate_specs[] = {
  SETTINGS_TEXT ("vm", offsetof (GateDraft, settings.common.vm), SETTINGS_NAME_MAX),
  SETTINGS_TEXT ("failure_domain",
                 offsetof (GateDraft, settings.common.failure_domain),
                 SETTINGS_NAME_MAX),
  SETTINGS_TEXT ("site_key_file",
                 offsetof (GateDraft, settings.common.site_key_file),
                 SETTINGS_PATH_MAX),
  SETTINGS_OPTIONAL_TEXT ("log_priority",
                          offsetof (GateDraft, settings.common.log_priority),
                          SETTINGS_NAME_MAX),
  SETTINGS_OBJECT ("platform", offsetof (GateDraft, platform)),
  SETTINGS_OBJECT ("callers", offsetof (GateDraft, callers)),
  SETTINGS_OBJECT ("local", offsetof (GateDraft, local)),
  SETTINGS_OBJECT ("steward", offsetof (GateDraft, steward)),
  SETTINGS_OPTIONAL_TEXT ("tls_certificate_file",
                          offsetof (GateDraft, settings.tls_certificate_file),
                          SETTINGS_PATH_MAX),
  SETTINGS_OPTIONAL_TEXT ("tls_key_file",
                          offsetof (GateDraft, settings.tls_key_file),
                          SETTINGS_PATH_MAX),
  SETTINGS_INT ("streams_max", offsetof (GateDraft, settings.streams_max), 1, STREAMS_MAX),
  SETTINGS_INT ("body_max", offsetof (GateDraft, settings.body_max), KIB, BODY_MAX),
  SETTINGS_INT ("memory_max", offsetof (GateDraft, settings.memory_max), MEMORY_MIN, MEMORY_MAX),
  SETTINGS_INT ("header_max", offsetof (GateDraft, settings.header_max), HEADER_MIN, HEADER_MAX),
  SETTINGS_INT ("read_timeout_ms",
                offsetof (GateDraft, settings.read_timeout_ms),
                1,
                SETTINGS_TIME_MAX_MS),
  SETTINGS_INT ("idle_timeout_ms",
                offsetof (GateDraft, settings.idle_timeout_ms),
                1,
                SETTINGS_TIME_MAX_MS),
  SETTINGS_INT ("first_byte_timeout_ms",
                offsetof (GateDraft, settings.first_byte_timeout_ms),
                1,
                SETTINGS_TIME_MAX_MS),
  SETTINGS_INT ("token_timeout_ms",
                offsetof (GateDraft, settings.token_timeout_ms),
                1,
                SETTINGS_TIME_MAX_MS),
  SETTINGS_INT ("spool_max", offsetof (GateDraft, settings.spool_max), SPOOL_MIN, SPOOL_MAX),
  SETTINGS_INT ("stop_timeout_ms",
                offsetof (GateDraft, settings.stop_timeout_ms),
                1,
                SETTINGS_TIME_MAX_MS),
  { .name = "sample_share",
    .type = FIELD_NUMBER,
    .offset = offsetof (GateDraft, settings.sample_share),
    .min = 0,
    .max = 1 },
  { .name = "server_policy",
    .type = FIELD_STRING,
    .offset = offsetof (GateDraft, settings.server_policy),
    .min = 1,
    .max = POLICY_NAME_MAX },
};

static void
gate_defaults (SettingsGate *s)
{
  *s = (SettingsGate){
    .streams_max = 2000,
    .body_max = 4 * MIB,
    .memory_max = 1024 * MIB,
    .header_max = 16 * KIB,
    .read_timeout_ms = 10000,
    .idle_timeout_ms = 60000,
    .first_byte_timeout_ms = 30000,
    .token_timeout_ms = 20000,
    .spool_max = 8 * MIB,
    .stop_timeout_ms = 30000,
    .sample_share = 0.1,
    .server_policy = memory_strdup (server_policy_default.name),
  };
  settings_common_defaults (&s->common);
}

static void
gate_check (const SettingsGate *s, CheckList *list)
{
  settings_common_check (&s->common, list);
  settings_tls_check (s->tls_certificate_file, s->tls_key_file, list);
  if (s->body_max > s->memory_max / BODY_MEMORY_FACTOR)
    check_add (list, "body_max", "expected at most a %dth of memory_max, found %lld",
               BODY_MEMORY_FACTOR, (long long)s->body_max);
  if (!server_policy_find (s->server_policy))
    check_add (list, "server_policy", "there is no policy \"%s\"", s->server_policy);
}

static void
gate_read (struct json_object *obj, SettingsGate *out, CheckList *list)
{
  GateDraft draft = { 0 };
  SettingsGate *s = &draft.settings;

  gate_defaults (s);
  field_read (gate_specs, sizeof gate_specs / sizeof gate_specs[0], obj, &draft, "", list);
  const SettingsEndpoint endpoints[] = {
    { "callers", draft.callers, &s->callers },
    { "local", draft.local, &s->local },
    { "steward", draft.steward, &s->steward },
    { "platform", draft.platform, &s->common.platform },
  };
  settings_endpoints_read (endpoints, sizeof endpoints / sizeof endpoints[0], list);
  gate_check (s, list);
  *out = *s;
}

bool
settings_gate_read (const char *path, SettingsGate *out, CheckList *list)
{
  unsigned before = list->count;
  struct json_object *obj = field_parse_file (path, list);

  *out = (SettingsGate){ 0 };
  if (!obj)
    return false;
  gate_read (obj, out, list);
  json_object_put (obj);
  if (list->count == before)
    return true;
  settings_gate_clear (out);
  return false;
}

void
settings_gate_clear (SettingsGate *s)
{
  settings_common_clear (&s->common);
  settings_address_clear (&s->callers);
  settings_address_clear (&s->local);
  settings_address_clear (&s->steward);
  free (s->tls_certificate_file);
  free (s->tls_key_file);
  free (s->server_policy);
  *s = (SettingsGate){ 0 };
}
