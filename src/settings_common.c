#include "settings_common.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>
#include <unistd.h>

#define ENDPOINT_PATH_SIZE 64 /**< bytes of a member's path in an error message */

typedef struct
{
  const char *name;
  int priority;
} LogPriority;

static const LogPriority priorities[] = {
  { "err", LOG_ERR },   { "warning", LOG_WARNING }, { "notice", LOG_NOTICE },
  { "info", LOG_INFO }, { "debug", LOG_DEBUG },
};

static const FieldSpec address_specs[] = {
  { .name = "address",
    .type = FIELD_STRING,
    .required = true,
    .offset = offsetof (SettingsAddress, address),
    .min = 1,
    .max = INET6_ADDRSTRLEN },
  { .name = "port",
    .type = FIELD_INT,
    .required = true,
    .offset = offsetof (SettingsAddress, port),
    .min = 1,
    .max = SETTINGS_PORT_MAX },
};

int
settings_log_priority (const char *name)
{
  for (size_t i = 0; i < sizeof priorities / sizeof priorities[0]; i++)
    {
      if (strcmp (priorities[i].name, name) == 0)
        return priorities[i].priority;
    }
  return -1;
}

void
settings_common_defaults (SettingsCommon *common)
{
  common->log_priority = memory_strdup ("info");
}

/* A name that is not valid in routing documents could never match a backend server's failure
   domain. */
static void
name_check (const char *path, const char *name, CheckList *list)
{
  if (name && !config_name_valid (name))
    check_add (list, path, "expected a name of a-z, 0-9, '.', '_' and '-' as in routing documents");
}

void
settings_common_check (const SettingsCommon *common, CheckList *list)
{
  name_check ("vm", common->vm, list);
  name_check ("failure_domain", common->failure_domain, list);
  if (settings_log_priority (common->log_priority) < 0)
    check_add (list, "log_priority", "expected one of: err, warning, notice, info, debug");
  settings_file_check ("site_key_file", common->site_key_file, list);
}

void
settings_common_clear (SettingsCommon *common)
{
  free (common->vm);
  free (common->failure_domain);
  free (common->site_key_file);
  free (common->log_priority);
  settings_address_clear (&common->platform);
  *common = (SettingsCommon){ 0 };
}

void
settings_address_clear (SettingsAddress *address)
{
  free (address->address);
  *address = (SettingsAddress){ 0 };
}

static bool
is_ip_number (const char *text)
{
  struct in6_addr parsed;

  return inet_pton (AF_INET, text, &parsed) == 1 || inet_pton (AF_INET6, text, &parsed) == 1;
}

bool
settings_address_is_any (const SettingsAddress *address)
{
  return address->address
         && (strcmp (address->address, "0.0.0.0") == 0 || strcmp (address->address, "::") == 0);
}

static bool
endpoints_clash (const SettingsAddress *a, const SettingsAddress *b)
{
  if (!a->address || !b->address || !a->port || a->port != b->port)
    return false;
  return strcmp (a->address, b->address) == 0 || settings_address_is_any (a)
         || settings_address_is_any (b);
}

static void
endpoint_read (const SettingsEndpoint *endpoint, CheckList *list)
{
  char path[ENDPOINT_PATH_SIZE];

  if (!endpoint->obj)
    return;
  field_read (address_specs, sizeof address_specs / sizeof address_specs[0], endpoint->obj,
              endpoint->address, endpoint->path, list);
  snprintf (path, sizeof path, "%s.address", endpoint->path);
  if (endpoint->address->address && !is_ip_number (endpoint->address->address))
    check_add (list, path, "expected an IP number, found \"%s\"", endpoint->address->address);
}

void
settings_endpoints_read (const SettingsEndpoint *endpoints, size_t count, CheckList *list)
{
  for (size_t i = 0; i < count; i++)
    endpoint_read (&endpoints[i], list);
  for (size_t i = 0; i < count; i++)
    {
      for (size_t j = 0; j < i; j++)
        {
          if (endpoints_clash (endpoints[i].address, endpoints[j].address))
            check_add (list, endpoints[i].path, "expected a port other than that of %s, found %lld",
                       endpoints[j].path, (long long)endpoints[i].address->port);
        }
    }
}

void
settings_file_check (const char *name, const char *path, CheckList *list)
{
  if (path && access (path, R_OK) < 0)
    check_add (list, name, "expected a file that can be read, found \"%s\": %s", path,
               strerror (errno));
}

void
settings_tls_check (const char *certificate_file, const char *key_file, CheckList *list)
{
  settings_file_check ("tls_certificate_file", certificate_file, list);
  settings_file_check ("tls_key_file", key_file, list);
  if (certificate_file && !key_file)
    check_add (list, "tls_key_file", "expected a file beside tls_certificate_file, found nothing");
  if (key_file && !certificate_file)
    check_add (list, "tls_certificate_file", "expected a file beside tls_key_file, found nothing");
}
