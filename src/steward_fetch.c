#include "steward_fetch.h"
#include "cluster_view.h"
#include "rpc_client.h"
#include "steward_cluster.h"
#include "steward_publish.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_id.h"
#include "util_log.h"
#include "util_memory.h"
#include "util_wait.h"
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_MS 1000
/* Delay before peers are asked. The table's thread reads the table in the meantime, so that a fetch
   from peers is seldom needed while the table service answers. */
#define PEER_FETCH_DELAY_MS 300
/* Interval between checks without a wake-up. */
#define IDLE_INTERVAL_MS 1000

struct StewardFetch
{
  Steward *s;
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t wake;
  bool stop;
  bool woken;
};

/** A kind of object that is fetched, and what is done with it. */
typedef struct
{
  unsigned procedure;
  /** The lowest number to fetch, or 0 if there is nothing to fetch. */
  int64_t (*wanted) (Steward *s);
  /** True if a member is known to have that number or a newer one. */
  bool (*has) (const ClusterProgress *k, int64_t wanted);
  void (*apply) (Steward *s, const rpc_document *document);
} FetchKind;

static int64_t
document_wanted (Steward *s)
{
  int64_t wanted = steward_cluster_wanted_number (s);

  return wanted > steward_document_number (&s->document) ? wanted : 0;
}

static bool
document_has (const ClusterProgress *k, int64_t wanted)
{
  return k->number >= wanted;
}

static void
document_apply (Steward *s, const rpc_document *document)
{
  (void)steward_publish_document (s, document->number, document->text);
}

static int64_t
view_wanted (Steward *s)
{
  int64_t wanted;

  pthread_mutex_lock (&s->cluster.lock);
  wanted = cluster_state_wanted_view (s->cluster.state);
  if (wanted <= cluster_state_view (s->cluster.state)->number)
    wanted = 0;
  pthread_mutex_unlock (&s->cluster.lock);
  return wanted;
}

static bool
view_has (const ClusterProgress *k, int64_t wanted)
{
  return k->view >= wanted;
}

static void
view_apply (Steward *s, const rpc_document *document)
{
  ClusterView *view = memory_alloc (sizeof *view);
  CheckList list = { .file = "view" };

  if (cluster_view_parse (document->text, view, &list))
    {
      pthread_mutex_lock (&s->cluster.lock);
      (void)steward_cluster_adopt_view (s, view, clock_boot_ms ());
      pthread_mutex_unlock (&s->cluster.lock);
    }
  else
    log_msg (MSG_STEWARD_VIEW_BAD, "view=\"%lld\"", (long long)document->number);
  check_free (&list);
  free (view);
}

static const FetchKind kinds[] = {
  { LOVAGE_CONFIG_GET, document_wanted, document_has, document_apply },
  { LOVAGE_VIEW_GET, view_wanted, view_has, view_apply },
};

/* Picks a random member of those that have the number, so that the members that lack it don't all
   ask the same one. */
static bool
pick_member (Steward *s, const FetchKind *kind, int64_t wanted, ClusterMember *out)
{
  ClusterView *view = steward_cluster_view (s);
  uint64_t found = 0;

  pthread_mutex_lock (&s->cluster.lock);
  for (size_t i = 0; i < view->count; i++)
    {
      const ClusterMember *m = &view->members[i];
      const ClusterProgress *k = cluster_state_progress (s->cluster.state, m->incarnation);
      if (m->incarnation == s->incarnation || k == NULL || !kind->has (k, wanted))
        continue;
      found++;
      if (id_random_u64 () % found == 0)
        *out = *m;
    }
  if (view->count == 0 && s->cluster.introducer.port != 0)
    {
      *out = s->cluster.introducer;
      found = 1;
    }
  pthread_mutex_unlock (&s->cluster.lock);
  free (view);
  return found > 0;
}

static void
fetch (Steward *s, const FetchKind *kind, int64_t wanted)
{
  rpc_number ask = { .number = wanted };
  rpc_document document = { 0 };
  ClusterMember member;
  RpcClient *client;

  if (!pick_member (s, kind, wanted, &member))
    return;
  client = rpc_client_new (&s->key, s->incarnation, member.address, member.port);
  if (rpc_client_call (client, kind->procedure, (xdrproc_t)xdr_rpc_number, &ask,
                       (xdrproc_t)xdr_rpc_document, &document, CALL_TIMEOUT_MS, NULL)
      == STATUS_OK)
    {
      counter_add (COUNTER_STEWARD_FETCHES, 1);
      if (document.number >= wanted)
        kind->apply (s, &document);
      xdr_free ((xdrproc_t)xdr_rpc_document, &document);
    }
  rpc_client_free (client);
}

static void
fetch_wanted (Steward *s)
{
  for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
    {
      int64_t wanted = kinds[i].wanted (s);
      if (wanted > 0)
        fetch (s, &kinds[i], wanted);
    }
}

static bool
anything_wanted (Steward *s)
{
  for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
    if (kinds[i].wanted (s) > 0)
      return true;
  return false;
}

/* steward_fetch_wake is called with each heartbeat; it doesn't shorten this wait. */
static void
wait_for_table (StewardFetch *f)
{
  int64_t end = clock_boot_ms () + PEER_FETCH_DELAY_MS;

  while (!f->stop && clock_boot_ms () < end)
    (void)wait_ms (&f->wake, &f->lock, end - clock_boot_ms ());
}

static void *
run (void *context)
{
  StewardFetch *f = context;

  pthread_mutex_lock (&f->lock);
  while (!f->stop)
    {
      if (!f->woken)
        (void)wait_ms (&f->wake, &f->lock, IDLE_INTERVAL_MS);
      f->woken = false;
      pthread_mutex_unlock (&f->lock);
      bool wanted = anything_wanted (f->s);
      pthread_mutex_lock (&f->lock);
      if (!wanted || f->stop)
        continue;
      wait_for_table (f);
      pthread_mutex_unlock (&f->lock);
      fetch_wanted (f->s);
      pthread_mutex_lock (&f->lock);
    }
  pthread_mutex_unlock (&f->lock);
  return NULL;
}

StewardFetch *
steward_fetch_start (Steward *s)
{
  StewardFetch *f = memory_alloc (sizeof *f);

  f->s = s;
  pthread_mutex_init (&f->lock, NULL);
  wait_init (&f->wake);
  int error = pthread_create (&f->thread, NULL, run, f);
  INVARIANT (error == 0, "pthread_create: %s", strerror (error));
  return f;
}

void
steward_fetch_stop (StewardFetch *f)
{
  if (f == NULL)
    return;
  pthread_mutex_lock (&f->lock);
  f->stop = true;
  pthread_cond_signal (&f->wake);
  pthread_mutex_unlock (&f->lock);
  pthread_join (f->thread, NULL);
  pthread_cond_destroy (&f->wake);
  pthread_mutex_destroy (&f->lock);
  free (f);
}

void
steward_fetch_wake (StewardFetch *f)
{
  if (f == NULL)
    return;
  pthread_mutex_lock (&f->lock);
  f->woken = true;
  pthread_cond_signal (&f->wake);
  pthread_mutex_unlock (&f->lock);
}
