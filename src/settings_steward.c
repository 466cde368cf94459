#include "settings_common.h"
#include <stdlib.h>

#define HEARTBEAT_MIN_MS 10
#define HEARTBEAT_MAX_MS 60000
#define POLL_MIN_MS      10
#define GRANT_MAX_MS     600000

/* A grant must stay valid if one heartbeat is lost; otherwise each lost datagram stops all new
   requests. */
#define GRANT_HEARTBEATS 2

typedef struct
{
  SettingsSteward settings;
  struct json_object *platform;
  struct json_object *rpc;
  struct json_object *advertise;
  struct json_object *operators;
  struct json_object *local;
  struct json_object *operator_list;
} StewardDraft;

static const FieldSpec steward_specs[] = {
  SETTINGS_TEXT ("vm", offsetof (StewardDraft, settings.common.vm), SETTINGS_NAME_MAX),
  SETTINGS_TEXT ("failure_domain",
                 offsetof (StewardDraft, settings.common.failure_domain),
                 SETTINGS_NAME_MAX),
  SETTINGS_TEXT ("site_key_file",
                 offsetof (StewardDraft, settings.common.site_key_file),
                 SETTINGS_PATH_MAX),
  SETTINGS_OPTIONAL_TEXT ("log_priority",
                          offsetof (StewardDraft, settings.common.log_priority),
                          SETTINGS_NAME_MAX),
  SETTINGS_OBJECT ("platform", offsetof (StewardDraft, platform)),
  SETTINGS_OBJECT ("rpc", offsetof (StewardDraft, rpc)),
  { .name = "advertise", .type = FIELD_OBJECT, .offset = offsetof (StewardDraft, advertise) },
  SETTINGS_OBJECT ("operators", offsetof (StewardDraft, operators)),
  SETTINGS_OBJECT ("local", offsetof (StewardDraft, local)),
  SETTINGS_OPTIONAL_TEXT ("tls_certificate_file",
                          offsetof (StewardDraft, settings.tls_certificate_file),
                          SETTINGS_PATH_MAX),
  SETTINGS_OPTIONAL_TEXT ("tls_key_file",
                          offsetof (StewardDraft, settings.tls_key_file),
                          SETTINGS_PATH_MAX),
  SETTINGS_INT ("heartbeat_ms",
                offsetof (StewardDraft, settings.heartbeat_ms),
                HEARTBEAT_MIN_MS,
                HEARTBEAT_MAX_MS),
  SETTINGS_INT ("poll_ms",
                offsetof (StewardDraft, settings.poll_ms),
                POLL_MIN_MS,
                HEARTBEAT_MAX_MS),
  SETTINGS_INT ("grant_ms",
                offsetof (StewardDraft, settings.grant_ms),
                HEARTBEAT_MIN_MS,
                GRANT_MAX_MS),
  { .name = "operator_list",
    .type = FIELD_ARRAY,
    .required = true,
    .offset = offsetof (StewardDraft, operator_list) },
};

static void
steward_defaults (SettingsSteward *s)
{
  *s = (SettingsSteward){
    .heartbeat_ms = 250,
    .poll_ms = 500,
    .grant_ms = 3000,
  };
  settings_common_defaults (&s->common);
}

static void
steward_check (const SettingsSteward *s, CheckList *list)
{
  settings_common_check (&s->common, list);
  settings_tls_check (s->tls_certificate_file, s->tls_key_file, list);
  if (settings_address_is_any (&s->rpc) && !s->advertise.address)
    check_add (list, "advertise",
               "expected the address where other stewards reach rpc, found nothing");
  if (settings_address_is_any (&s->advertise))
    check_add (list, "advertise.address",
               "expected an IP number that others can reach, found \"%s\"", s->advertise.address);
  if (s->grant_ms < GRANT_HEARTBEATS * s->heartbeat_ms)
    check_add (list, "grant_ms", "expected at least %d times heartbeat_ms (%lld), found %lld",
               GRANT_HEARTBEATS, (long long)s->heartbeat_ms, (long long)s->grant_ms);
}

static void
steward_read (struct json_object *obj, SettingsSteward *out, CheckList *list)
{
  StewardDraft draft = { 0 };
  SettingsSteward *s = &draft.settings;

  steward_defaults (s);
  field_read (steward_specs, sizeof steward_specs / sizeof steward_specs[0], obj, &draft, "", list);
  const SettingsEndpoint endpoints[] = {
    { "rpc", draft.rpc, &s->rpc },
    { "operators", draft.operators, &s->operators },
    { "local", draft.local, &s->local },
    { "platform", draft.platform, &s->common.platform },
  };
  /* Not checked against the others, as it is the endpoint of rpc seen from other VMs. */
  const SettingsEndpoint advertise = { "advertise", draft.advertise, &s->advertise };

  settings_endpoints_read (endpoints, sizeof endpoints / sizeof endpoints[0], list);
  settings_endpoints_read (&advertise, 1, list);
  if (draft.operator_list)
    settings_operators_read (draft.operator_list, &s->operator_list, &s->operator_count, list);
  steward_check (s, list);
  *out = *s;
}

bool
settings_steward_read (const char *path, SettingsSteward *out, CheckList *list)
{
  unsigned before = list->count;
  struct json_object *obj = field_parse_file (path, list);

  *out = (SettingsSteward){ 0 };
  if (!obj)
    return false;
  steward_read (obj, out, list);
  json_object_put (obj);
  if (list->count == before)
    return true;
  settings_steward_clear (out);
  return false;
}

void
settings_steward_clear (SettingsSteward *s)
{
  settings_common_clear (&s->common);
  settings_address_clear (&s->rpc);
  settings_address_clear (&s->advertise);
  settings_address_clear (&s->operators);
  settings_address_clear (&s->local);
  free (s->tls_certificate_file);
  free (s->tls_key_file);
  settings_operators_clear (s->operator_list, s->operator_count);
  *s = (SettingsSteward){ 0 };
}
