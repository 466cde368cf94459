#include "front_servers.h"
#include "front_evacuations.h"
#include "front_server_starts.h"
#include "front_socket.h"
#include "util_id.h"
#include "util_memory.h"
#include "util_span.h"
#include <stdlib.h>
#include <string.h>

struct FrontServers
{
  struct cds_list_head list;
  Index by_id;
  Index by_hash;
  unsigned unconfirmed; /* servers whose grace period runs */
  char failure_domain[SERVER_TEXT_MAX];
  unsigned count;
  FrontServerStarts starts;
  FrontEvacuations evacuations;
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
  IndexEntry *found = index_first (&servers->by_hash, hash);

  return found ? cds_list_entry (found, FrontServer, by_hash) : NULL;
}

static void
set_unconfirmed (FrontServers *servers, FrontServer *server, bool unconfirmed)
{
  servers->unconfirmed += unconfirmed;
  servers->unconfirmed -= server->unconfirmed;
  server->unconfirmed = unconfirmed;
}

static FrontServer *
server_add (FrontServers *servers, const ServerEntry *entry, const struct sockaddr_in *address)
{
  FrontServer *server = memory_alloc (sizeof *server);

  server->address = *address;
  server->hash = id_hash_string (entry->id, (uint64_t)entry->born_ms);
  server->is_same_domain = strcmp (entry->failure_domain, servers->failure_domain) == 0;
  server->listed = true;
  cds_list_add_tail (&server->node, &servers->list);
  index_add (&servers->by_id, &server->by_id, span_hash (span_of (entry->id)));
  index_add (&servers->by_hash, &server->by_hash, server->hash);
  server->owner = servers;
  servers->count++;
  return server;
}

static void
server_remove (FrontServers *servers, FrontServer *server)
{
  server->listed = false;
  server->leaving = true;
  set_unconfirmed (servers, server, false);
  servers->count--;
  if (server->references == 0)
    server_free (servers, server);
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
      server_remove (servers, server);
      server = NULL;
    }
  if (!server)
    {
      server = server_add (servers, entry, &address);
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
front_servers_evacuate (FrontServers *servers, const char *domain, bool ordered, int64_t now_ms)
{
  FrontServer *server;

  if (!front_evacuations_set (&servers->evacuations, domain, ordered))
    return false;
  cds_list_for_each_entry (server, &servers->list, node)
  {
    if (strcmp (server->entry.failure_domain, domain) != 0)
      continue;
    server->evacuated = ordered;
    if (!ordered)
      server->returned_ms = now_ms;
  }
  return true;
}

bool
front_servers_said_leaving (FrontServer *server)
{
  FrontServers *servers = server->owner;
  FrontServer *listed = front_servers_find (servers, server->entry.id);

  if (server->said_leaving)
    return false;
  server->said_leaving = true;
  server->leaving = true;
  front_server_starts_end (&servers->starts, &server->entry, servers->count);
  /* Its entry may have expired and come back while the answer was on its way. */
  if (listed && listed->hash == server->hash)
    listed->leaving = true;
  return true;
}

void
front_servers_remove (FrontServers *servers, const char *id, int64_t now_ms, int64_t grace_ms)
{
  FrontServer *server = front_servers_find (servers, id);

  if (!server)
    return;
  if (grace_ms <= 0)
    server_remove (servers, server);
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

  if (servers->unconfirmed == 0)
    return;
  cds_list_for_each_entry_safe (server, next, &servers->list, node)
  {
    if (server->listed && server->unconfirmed && now_ms >= server->unconfirmed_until_ms)
      server_remove (servers, server);
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
  if (server->references == 0 && !server->listed)
    server_free (server->owner, server);
}
