/**
 * Subsets of servers, selected by rendezvous hashing.
 */
#include "choose_index.h"

#include "util_id.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define OWN_DOMAIN_DIVISOR 3 /**< a third of the subset comes from the own failure domain */

/** A server of the version or service whose subset is being selected. */
typedef struct
{
  unsigned server;
  const char *domain;
  uint64_t hash;
  bool own;
  unsigned rank; /**< position by hash within its failure domain */
} Eligible;

static bool
serves_version (const ConfigServer *server, unsigned version)
{
  size_t i;

  if (server->kind != SERVER_ENGINE)
    return false;
  for (i = 0; i < server->version_count; i++)
    {
      if (server->versions[i] == version)
        return true;
    }
  return false;
}

static bool
serves_service (const ConfigServer *server, const char *service)
{
  return server->kind == SERVER_SERVICE && server->service != NULL
         && strcmp (server->service, service) == 0;
}

static int
by_domain_and_hash (const void *a, const void *b)
{
  const Eligible *x = a, *y = b;
  int order = strcmp (x->domain, y->domain);

  if (order != 0)
    return order;
  if (x->hash != y->hash)
    return x->hash < y->hash ? -1 : 1;
  return x->server < y->server ? -1 : 1;
}

/** Own failure domain first; then one server of each other failure domain before the second of
 *  any. */
static int
by_domain_in_turn (const void *a, const void *b)
{
  const Eligible *x = a, *y = b;

  if (x->own != y->own)
    return x->own ? -1 : 1;
  if (x->rank != y->rank)
    return x->rank < y->rank ? -1 : 1;
  if (x->hash != y->hash)
    return x->hash < y->hash ? -1 : 1;
  return x->server < y->server ? -1 : 1;
}

static void
rank_servers (Eligible *eligible, unsigned count)
{
  unsigned i;

  qsort (eligible, count, sizeof *eligible, by_domain_and_hash);
  for (i = 0; i < count; i++)
    {
      bool same = i > 0 && strcmp (eligible[i - 1].domain, eligible[i].domain) == 0;

      eligible[i].rank = same ? eligible[i - 1].rank + 1 : 0;
    }
  qsort (eligible, count, sizeof *eligible, by_domain_in_turn);
}

static IndexList
select_subset (Eligible *eligible, unsigned count, unsigned subset)
{
  IndexList list = { .servers = memory_array (count + 1, sizeof (unsigned)) };
  unsigned own = 0, others, own_wanted, i;

  rank_servers (eligible, count);
  while (own < count && eligible[own].own)
    own++;
  others = count - own;
  own_wanted = count <= subset ? own : subset / OWN_DOMAIN_DIVISOR;
  if (subset > own_wanted + others)
    own_wanted = subset - others;
  if (own_wanted > own)
    own_wanted = own;
  for (i = 0; i < count && list.count < subset; i++)
    {
      if (i < own && i >= own_wanted)
        continue;
      list.servers[list.count++] = eligible[i].server;
    }
  return list;
}

/** Collects the servers of a version, or those of a service if service isn't NULL. */
static unsigned
collect (const Config *config,
         unsigned version,
         const char *service,
         uint64_t vm_hash,
         const char *failure_domain,
         Eligible *eligible)
{
  unsigned i, n = 0;

  for (i = 0; i < config->server_count; i++)
    {
      const ConfigServer *server = &config->servers[i];
      bool serves
          = service != NULL ? serves_service (server, service) : serves_version (server, version);

      if (!serves || server->leaving)
        continue;
      eligible[n++] = (Eligible){
        .server = i,
        .domain = server->failure_domain,
        .hash = id_hash_string (server->name, vm_hash),
        .own = strcmp (server->failure_domain, failure_domain) == 0,
      };
    }
  return n;
}

static void
mark_watched (ServerIndex *index, const IndexList *list)
{
  unsigned i;

  for (i = 0; i < list->count; i++)
    index->watched[list->servers[i]] = true;
}

ServerIndex *
server_index_new (const Config *config,
                  uint64_t vm_hash,
                  const char *failure_domain,
                  unsigned subset)
{
  ServerIndex *index = memory_alloc (sizeof *index);
  Eligible *eligible = memory_array (config->server_count + 1, sizeof *eligible);
  unsigned i, n;

  index->version_count = config->version_count;
  index->service_count = config->service_count;
  index->versions = memory_array (config->version_count + 1, sizeof *index->versions);
  index->services = memory_array (config->service_count + 1, sizeof *index->services);
  index->watched = memory_array (config->server_count + 1, sizeof *index->watched);
  for (i = 0; i < config->version_count; i++)
    {
      n = collect (config, i, NULL, vm_hash, failure_domain, eligible);
      index->versions[i] = select_subset (eligible, n, subset);
      mark_watched (index, &index->versions[i]);
    }
  for (i = 0; i < config->service_count; i++)
    {
      n = collect (config, 0, config->services[i].name, vm_hash, failure_domain, eligible);
      index->services[i] = select_subset (eligible, n, subset);
      mark_watched (index, &index->services[i]);
    }
  free (eligible);
  return index;
}

void
server_index_free (ServerIndex *index)
{
  size_t i;

  for (i = 0; i < index->version_count; i++)
    free (index->versions[i].servers);
  for (i = 0; i < index->service_count; i++)
    free (index->services[i].servers);
  free (index->versions);
  free (index->services);
  free (index->watched);
  free (index);
}
