#include "front_servers.h"
#include "front.h"
#include "front_brittle_services.h"
#include "front_server_starts.h"
#include "front_socket.h"
#include "util_id.h"
#include "util_memory.h"
#include "util_span.h"
#include <stdlib.h>
#include <string.h>

/* Milliseconds for which a removed server that asked for something is remembered, in case its entry
 * comes back: as after a while in which it could not reach the store. */
#define KEEP_MS 60000

struct FrontServers
{
  struct cds_list_head list;
  Index by_id;
  Index by_hash;
  unsigned unconfirmed; /* servers whose grace period runs */
  unsigned kept;        /* servers that are not listed, with kept_until_ms set */
  char failure_domain[SERVER_TEXT_MAX];
  unsigned count;
  FrontServerStarts starts;
  FrontEvacuations evacuations;
  BrittleServices brittle;
};

FrontServers *
front_servers_new (const char *failure_domain)
{
  FrontServers *servers = memory_alloc (sizeof *servers);

  CDS_INIT_LIST_HEAD (&servers->list);
  front_server_starts_init (&servers->starts);
  front_evacuations_init (&servers->evacuations);
  strncpy (servers->failure_domain, failure_domain, SERVER_TEXT_MAX - 1);
  return servers;
}

static void
server_free (FrontServers *servers, FrontServer *server)
{
  cds_list_del (&server->node);
  index_remove (&servers->by_id, &server->by_id);
  index_remove (&servers->by_hash, &server->by_hash);
  front_prompts_clear (&server->prompts);
  free (server);
}

void
front_servers_free (FrontServers *servers)
{
  FrontServer *server, *next;

  cds_list_for_each_entry_safe (server, next, &servers->list, node) server_free (servers, server);
  index_clear (&servers->by_id);
  index_clear (&servers->by_hash);
  front_server_starts_clear (&servers->starts);
  front_evacuations_clear (&servers->evacuations);
  free (servers);
}

FrontServer *
front_servers_find (FrontServers *servers, const char *id)
{
  IndexEntry *at = index_first (&servers->by_id, span_hash (span_of (id)));

  for (; at; at = index_next (&servers->by_id, at))
    {
      FrontServer *server = cds_list_entry (at, FrontServer, by_id);

      if (server->listed && strcmp (server->entry.id, id) == 0)
        return server;
    }
  return NULL;
}

FrontServer *
front_servers_find_hash (FrontServers *servers, uint64_t hash)
{
  IndexEntry *at = index_first (&servers->by_hash, hash);
  FrontServer *found = NULL;

  for (; at && !(found && found->listed); at = index_next (&servers->by_hash, at))
    found = cds_list_entry (at, FrontServer, by_hash);
  return found;
}

static void
set_unconfirmed (FrontServers *servers, FrontServer *server, bool unconfirmed)
{
  servers->unconfirmed += unconfirmed;
  servers->unconfirmed -= server->unconfirmed;
  server->unconfirmed = unconfirmed;
}

/* Takes over what records of the same start were told while it was listed before. */
static void
server_inherit (const FrontServers *servers, FrontServer *server)
{
  IndexEntry *at = index_first (&servers->by_hash, server->hash);

  for (; at; at = index_next (&servers->by_hash, at))
    {
      const FrontServer *before = cds_list_entry (at, FrontServer, by_hash);

      if (before->limit.heard_ms > server->limit.heard_ms)
        server->limit = before->limit;
      if (before->brittle.heard_ms > server->brittle.heard_ms)
        server->brittle = before->brittle;
      if (before->rest_until_ms > server->rest_until_ms)
        server->rest_until_ms = before->rest_until_ms;
    }
}

static FrontServer *
server_add (FrontServers *servers,
            const ServerEntry *entry,
            const struct sockaddr_in *address,
            int64_t now_ms)
{
  FrontServer *server = memory_alloc (sizeof *server);

  server->address = *address;
  server->hash = id_hash_string (entry->id, (uint64_t)entry->born_ms);
  server->is_same_domain = strcmp (entry->failure_domain, servers->failure_domain) == 0;
  server->listed = true;
  server->returned_ms = front_evacuations_ended_ms (
      &servers->evacuations, front_failure_domain_hash (entry->failure_domain));
  server_inherit (servers, server);
  brittle_services_apply (&servers->brittle, span_hash (span_of (entry->service)), &server->brittle,
                          now_ms);
  cds_list_add_tail (&server->node, &servers->list);
  index_add (&servers->by_id, &server->by_id, span_hash (span_of (entry->id)));
  index_add (&servers->by_hash, &server->by_hash, server->hash);
  server->owner = servers;
  servers->count++;
  return server;
}

static void
server_free_unused (FrontServer *server)
{
  if (server->references == 0 && !server->listed && server->kept_until_ms == 0)
    server_free (server->owner, server);
}

static void
server_remove (FrontServers *servers, FrontServer *server, int64_t now_ms)
{
  server->listed = false;
  server->leaving = true;
  set_unconfirmed (servers, server, false);
  servers->count--;
  if (!server->restarted
      && (server->limit.is_named || server->brittle.is_named || server->rest_until_ms > now_ms))
    {
      server->kept_until_ms = now_ms + KEEP_MS;
      servers->kept++;
    }
  server_free_unused (server);
}

bool
front_servers_set (FrontServers *servers, const ServerEntry *entry, int64_t now_ms, bool *changed)
{
  FrontServer *server = front_servers_find (servers, entry->id);
  struct sockaddr_in address;

  *changed = false;
  if (!front_socket_parse_address (entry->address, &address))
    return false;
  if (!front_server_starts_accept (&servers->starts, entry, servers->count))
    return true;
  /* A restarted server has an empty cache, may have another address, and reports anew how long it
   * drains or stays cold: the old record would deny it work or send work to its old address. */
  if (server && entry->born_ms > server->entry.born_ms)
    {
      server->restarted = true;
      server_remove (servers, server, now_ms);
      server = NULL;
    }
  if (!server)
    {
      server = server_add (servers, entry, &address, now_ms);
      *changed = true;
    }
  if (entry->draining && !server->leaving)
    {
      server->leaving = true;
      *changed = true;
    }
  server->entry = *entry;
  server->cold_until_ms = now_ms + entry->cold_ms;
  server->evacuated = front_evacuations_has (&servers->evacuations, entry->failure_domain);
  set_unconfirmed (servers, server, false);
  return true;
}

bool
front_servers_brittle_named (FrontServer *server, double per_s, int64_t now_ms)
{
  FrontServers *servers = server->owner;
  uint64_t service = span_hash (span_of (server->entry.service));
  bool is_news = server_brittle_named (&server->brittle, per_s, now_ms);
  FrontServer *other;

  if (!brittle_services_named (&servers->brittle, service, per_s, now_ms))
    return is_news;
  cds_list_for_each_entry (other, &servers->list, node)
  {
    if (strcmp (other->entry.service, server->entry.service) == 0)
      brittle_services_apply (&servers->brittle, service, &other->brittle, now_ms);
  }
  return is_news;
}

bool
front_servers_brittle_absent (FrontServer *server, int64_t sent_ms)
{
  if (!server_brittle_absent (&server->brittle, sent_ms))
    return false;
  brittle_services_absent (&server->owner->brittle, span_hash (span_of (server->entry.service)));
  return true;
}

/* The servers of the failure domain get work again. */
static void
set_returned (FrontServers *servers, uint32_t domain, int64_t at_ms)
{
  FrontServer *server;

  cds_list_for_each_entry (server, &servers->list, node)
  {
    if (front_failure_domain_hash (server->entry.failure_domain) == domain)
      server->returned_ms = at_ms;
  }
}

bool
front_servers_evacuate (FrontServers *servers,
                        const char *domain,
                        bool ordered,
                        int64_t version,
                        int64_t now_ms)
{
  EvacuationEnd end
      = { .domain = front_failure_domain_hash (domain), .at_ms = now_ms, .version = version };
  FrontServer *server;

  if (!front_evacuations_set (&servers->evacuations, domain, ordered))
    return false;
  cds_list_for_each_entry (server, &servers->list, node)
  {
    if (strcmp (server->entry.failure_domain, domain) == 0)
      server->evacuated = ordered;
  }
  if (ordered)
    return true;
  front_evacuations_add_end (&servers->evacuations, &end, now_ms);
  set_returned (servers, end.domain, now_ms);
  return true;
}

void
front_servers_evacuation_may_end (FrontServers *servers,
                                  const char *domain,
                                  int64_t version,
                                  int64_t now_ms)
{
  const EvacuationEnd end
      = { .domain = front_failure_domain_hash (domain), .at_ms = now_ms, .version = version };

  if (front_evacuations_has (&servers->evacuations, domain))
    front_evacuations_add_end (&servers->evacuations, &end, now_ms);
}

bool
front_servers_evacuation_ended (FrontServers *servers, const EvacuationEnd *end, int64_t now_ms)
{
  if (!front_evacuations_add_end (&servers->evacuations, end, now_ms))
    return false;
  set_returned (servers, end->domain, end->at_ms);
  return true;
}

unsigned
front_servers_evacuation_ends (const FrontServers *servers,
                               EvacuationEnd *out,
                               unsigned max,
                               int64_t now_ms)
{
  return front_evacuations_recent_ends (&servers->evacuations, out, max, now_ms);
}

FrontServer *
front_servers_current (FrontServer *server)
{
  return front_servers_find_hash (server->owner, server->hash);
}

bool
front_servers_said_leaving (FrontServer *server)
{
  FrontServers *servers = server->owner;

  if (server->said_leaving)
    return false;
  server->said_leaving = true;
  server->leaving = true;
  front_server_starts_end (&servers->starts, &server->entry, servers->count);
  return true;
}

void
front_servers_remove (FrontServers *servers, const char *id, int64_t now_ms, int64_t grace_ms)
{
  FrontServer *server = front_servers_find (servers, id);

  if (!server)
    return;
  if (grace_ms <= 0)
    server_remove (servers, server, now_ms);
  else if (!server->unconfirmed)
    {
      set_unconfirmed (servers, server, true);
      server->unconfirmed_until_ms = now_ms + grace_ms;
    }
}

void
front_servers_expire (FrontServers *servers, int64_t now_ms)
{
  FrontServer *server, *next;

  if (servers->unconfirmed == 0 && servers->kept == 0)
    return;
  cds_list_for_each_entry_safe (server, next, &servers->list, node)
  {
    if (server->listed && server->unconfirmed && now_ms >= server->unconfirmed_until_ms)
      server_remove (servers, server, now_ms);
    else if (server->kept_until_ms != 0 && now_ms >= server->kept_until_ms)
      {
        server->kept_until_ms = 0;
        servers->kept--;
        server_free_unused (server);
      }
  }
}

struct cds_list_head *
front_servers_list (FrontServers *servers)
{
  return &servers->list;
}

unsigned
front_servers_count (const FrontServers *servers)
{
  return servers->count;
}

void
front_server_ref (FrontServer *server)
{
  server->references++;
}

void
front_server_unref (FrontServer *server)
{
  server->references--;
  server_free_unused (server);
}
