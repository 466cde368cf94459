/**
 * Sections "services" and "backend_servers".
 */
#include "config_parse.h"
#include "util_field.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX      65535
#define SLOTS_DEFAULT 8 /**< requests that a server runs concurrently */
#define SLOTS_MAX     100000
#define ADDRESS_LEN   45 /**< characters of the longest IPv6 address */

typedef struct
{
  bool idempotent;
} ServiceFields;

typedef struct
{
  char *kind;
  char *address;
  int64_t port;
  char *failure_domain;
  struct json_object *serves;
  char *service;
  bool leaving;
  bool checks_fencing;
  int64_t slots;
} ServerFields;

static const FieldSpec service_specs[] = {
  { "idempotent", FIELD_BOOL, true, offsetof (ServiceFields, idempotent), 0, 0 },
};

static const FieldSpec server_specs[] = {
  { "kind", FIELD_STRING, true, offsetof (ServerFields, kind), 0, 0 },
  { "address", FIELD_STRING, true, offsetof (ServerFields, address), 1, ADDRESS_LEN },
  { "port", FIELD_INT, true, offsetof (ServerFields, port), 1, PORT_MAX },
  { "failure_domain", FIELD_STRING, true, offsetof (ServerFields, failure_domain), 1,
    CONFIG_NAME_MAX },
  { "serves", FIELD_ARRAY, false, offsetof (ServerFields, serves), 0, 0 },
  { "service", FIELD_STRING, false, offsetof (ServerFields, service), 1, CONFIG_NAME_MAX },
  { "leaving", FIELD_BOOL, false, offsetof (ServerFields, leaving), 0, 0 },
  { "checks_fencing", FIELD_BOOL, false, offsetof (ServerFields, checks_fencing), 0, 0 },
  { "slots", FIELD_INT, false, offsetof (ServerFields, slots), 1, SLOTS_MAX },
};

static const char *const kind_names[] = {
  [SERVER_ENGINE] = "engine",
  [SERVER_SERVICE] = "service",
};

#define KIND_COUNT (sizeof kind_names / sizeof kind_names[0])

static void
read_service (ConfigParser *parser, const char *name, struct json_object *entry, const char *path)
{
  Config *config = parser->config;
  ConfigService *service = &config->services[config->service_count];
  ServiceFields fields = { 0 };

  field_read (service_specs, sizeof service_specs / sizeof service_specs[0], entry, &fields, path,
              parser->list);
  *service = (ConfigService){
    .index = (unsigned)config->service_count++,
    .name = memory_strdup (name),
    .idempotent = fields.idempotent,
  };
}

void
config_services_read (ConfigParser *parser, struct json_object *section)
{
  Config *config = parser->config;

  config->services = memory_array (config_entry_count (section) + 1, sizeof *config->services);
  config_each_entry (parser, section, "services", read_service);
}

static void
check_name (ConfigParser *parser, const char *path, const char *member, const char *name)
{
  char member_path[CONFIG_PATH_MAX];

  config_path (member_path, path, member);
  if (name != NULL && !config_name_valid (name))
    check_add (parser->list, member_path, "expected a name of 1 to %d of a-z 0-9 . _ -",
               CONFIG_NAME_MAX);
}

/** Replaces an address by its canonical form, so that different spellings of one address are found
 *  to clash. */
static void
make_address_canonical (ConfigParser *parser, const char *path, char **address)
{
  char member[CONFIG_PATH_MAX];
  char canonical[INET6_ADDRSTRLEN];
  unsigned char binary[sizeof (struct in6_addr)];
  int family;

  if (*address == NULL)
    return;
  config_path (member, path, "address");
  family = strchr (*address, ':') == NULL ? AF_INET : AF_INET6;
  if (inet_pton (family, *address, binary) != 1)
    {
      check_add (parser->list, member, "expected an IP number");
      return;
    }
  inet_ntop (family, binary, canonical, sizeof canonical);
  free (*address);
  *address = memory_strdup (canonical);
}

static void
check_endpoint_unique (ConfigParser *parser, const char *path, const ConfigServer *server)
{
  const Config *config = parser->config;

  if (server->address == NULL || server->port == 0)
    return;
  for (unsigned i = 0; i < server->index; i++)
    {
      const ConfigServer *other = &config->servers[i];

      if (other->address != NULL && other->port == server->port
          && strcmp (other->address, server->address) == 0)
        check_add (parser->list, path,
                   "expected an address and port of its own; backend_servers.%s has %s port %d too",
                   other->name, server->address, server->port);
    }
}

static void
read_serves (ConfigParser *parser,
             const char *path,
             ConfigServer *server,
             struct json_object *serves)
{
  size_t count;
  const char **labels = config_strings (parser, serves, path, "serves", &count);

  server->versions = memory_array (count + 1, sizeof *server->versions);
  for (size_t i = 0; i < count; i++)
    {
      char element[CONFIG_PATH_MAX];
      int version;

      config_path (element, path, "serves");
      version = config_label_read (parser, element, labels[i]);
      if (version >= 0)
        server->versions[server->version_count++] = (unsigned)version;
    }
  free (labels);
}

/** An engine needs "serves" and a plain service "service"; neither may have the other's member. */
static void
check_kind (ConfigParser *parser, const char *path, const ConfigServer *server, bool has_serves)
{
  char member[CONFIG_PATH_MAX];

  if (server->kind == SERVER_ENGINE)
    {
      config_path (member, path, server->service != NULL ? "service" : "serves");
      if (server->service != NULL)
        check_add (parser->list, member, "expected only on a server of kind \"service\"");
      else if (!has_serves)
        check_add (parser->list, member, "expected the versions that the engine serves");
      return;
    }
  config_path (member, path, has_serves ? "serves" : "service");
  if (has_serves)
    check_add (parser->list, member, "expected only on a server of kind \"engine\"");
  else if (server->service == NULL)
    check_add (parser->list, member, "expected the name of an entry in services");
  else if (config_find_service (parser->config, server->service) < 0)
    check_add (parser->list, member, "expected the name of an entry in services, found \"%s\"",
               config_name_valid (server->service) ? server->service : "?");
}

static void
read_server (ConfigParser *parser, const char *name, struct json_object *entry, const char *path)
{
  Config *config = parser->config;
  ConfigServer *server = &config->servers[config->server_count];
  ServerFields fields = { .slots = SLOTS_DEFAULT };
  int kind;

  field_read (server_specs, sizeof server_specs / sizeof server_specs[0], entry, &fields, path,
              parser->list);
  kind = fields.kind == NULL ? -1 : config_enum_index (kind_names, KIND_COUNT, fields.kind);
  if (kind < 0 && fields.kind != NULL)
    config_enum_error (parser, path, "kind", kind_names, KIND_COUNT);
  free (fields.kind);
  make_address_canonical (parser, path, &fields.address);
  check_name (parser, path, "failure_domain", fields.failure_domain);
  *server = (ConfigServer){
    .index = (unsigned)config->server_count++,
    .name = memory_strdup (name),
    .kind = kind < 0 ? SERVER_ENGINE : (ServerKind)kind,
    .address = fields.address,
    .port = (int)fields.port,
    .failure_domain = fields.failure_domain,
    .leaving = fields.leaving,
    .checks_fencing = fields.checks_fencing,
    .slots = fields.slots,
    .service = fields.service,
  };
  check_endpoint_unique (parser, path, server);
  if (kind >= 0)
    check_kind (parser, path, server, fields.serves != NULL);
  read_serves (parser, path, server, fields.serves);
}

void
config_servers_read (ConfigParser *parser, struct json_object *section)
{
  Config *config = parser->config;

  config->servers = memory_array (config_entry_count (section) + 1, sizeof *config->servers);
  config_each_entry (parser, section, "backend_servers", read_server);
}
