#include "gate_pick.h"
#include "util_assert.h"
#include "util_memory.h"
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

/** One thread's reusable array of server states; all zero between choices. */
typedef struct
{
  size_t count;
  ServerView views[];
} ViewArray;

static pthread_key_t array_key;
static pthread_once_t array_once = PTHREAD_ONCE_INIT;

static void
make_key (void)
{
  int error = pthread_key_create (&array_key, free);

  INVARIANT (error == 0, "pthread_key_create: %s", strerror (error));
}

/* Returns the thread's array with at least count entries. It is reused, since zeroing a new one for
   hundreds of servers costs more than the choice. */
static ViewArray *
view_array_for (size_t count)
{
  ViewArray *array;
  int error;

  (void)pthread_once (&array_once, make_key);
  array = pthread_getspecific (array_key);
  if (array != NULL && array->count >= count)
    return array;
  free (array);
  array = memory_alloc (sizeof *array + count * sizeof *array->views);
  array->count = count;
  error = pthread_setspecific (array_key, array);
  INVARIANT (error == 0, "pthread_setspecific: %s", strerror (error));
  return array;
}

static const IndexList *
watched_list (const ServerQuery *query)
{
  int service;

  if (query->service == NULL)
    return &query->index->versions[query->version];
  service = config_find_service (query->config, query->service);
  return service >= 0 ? &query->index->services[service] : NULL;
}

static bool
is_in (const IndexList *list, int server)
{
  for (unsigned i = 0; i < list->count; i++)
    {
      if ((int)list->servers[i] == server)
        return true;
    }
  return false;
}

static void
fill_watched (const ServerQuery *query, GateServer *const *servers, ServerView *views)
{
  for (size_t i = 0; i < query->config->server_count; i++)
    {
      if (query->index->watched[i])
        gate_server_copy_view (servers[i], &views[i]);
    }
}

static void
clear_list (const IndexList *list, ServerView *views)
{
  for (unsigned i = 0; i < list->count; i++)
    views[list->servers[i]] = (ServerView){ 0 };
}

/*
 * Copies at first only the states of the servers watched for the requested version: the gate may
 * watch hundreds, and copying all of them adds half of the cost of the rest of the choice. A policy
 * looks at other servers only if none of these is usable. So if it picks none of these, the states
 * of all watched servers are copied and it picks again.
 */
int
gate_pick (const ServerPolicy *policy, GateServer *const *servers, ServerQuery *query)
{
  size_t count = query->config->server_count;
  ServerView *views = view_array_for (count)->views;
  const IndexList *list = watched_list (query);
  int picked = -1;

  query->views = views;
  for (unsigned i = 0; list != NULL && i < list->count; i++)
    gate_server_copy_view (servers[list->servers[i]], &views[list->servers[i]]);
  if (list != NULL)
    picked = policy->pick (query);
  if (list == NULL || !is_in (list, picked))
    {
      fill_watched (query, servers, views);
      picked = policy->pick (query);
      memset (views, 0, count * sizeof *views);
    }
  else
    clear_list (list, views);
  query->views = NULL;
  return picked;
}
