#include "gate_snapshot.h"
#include "util_assert.h"
#include "util_memory.h"
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

static pthread_once_t rcu_once = PTHREAD_ONCE_INIT;
static pthread_key_t rcu_key;

static void
rcu_unregister (void *registered)
{
  (void)registered;
  rcu_unregister_thread ();
}

static void
rcu_key_make (void)
{
  int failed = pthread_key_create (&rcu_key, rcu_unregister);
  INVARIANT (failed == 0, "pthread_key_create gave %d", failed);
}

void
gate_rcu_register (void)
{
  static __thread bool thread_registered;

  if (thread_registered)
    return;
  pthread_once (&rcu_once, rcu_key_make);
  rcu_register_thread ();
  pthread_setspecific (rcu_key, &rcu_once);
  thread_registered = true;
}

GateSnapshot *
gate_snapshot_new (Config *config, const bool *braked, GateServers *servers)
{
  GateSnapshot *snapshot = memory_alloc (sizeof (*snapshot));

  snapshot->refs = 1;
  snapshot->config = config;
  snapshot->braked = memory_array (config->version_count + 1, sizeof (bool));
  memcpy (snapshot->braked, braked, config->version_count * sizeof (bool));
  snapshot->servers = gate_servers_resolve (servers, config);
  snapshot->index
      = server_index_new (config, servers->vm_hash, servers->failure_domain, INDEX_SUBSET);
  return snapshot;
}

static void
snapshot_free (GateSnapshot *snapshot)
{
  for (size_t i = 0; i < snapshot->config->server_count; i++)
    gate_server_put (snapshot->servers[i]);
  free (snapshot->servers);
  server_index_free (snapshot->index);
  free (snapshot->braked);
  config_unref (snapshot->config);
  free (snapshot);
}

/* The pointer is stored and loaded with the compiler's atomics instead of liburcu's macros, which
   ThreadSanitizer does not understand; the grace period is liburcu's. */
void
gate_snapshot_publish (GateSnapshots *snapshots, GateSnapshot *snapshot)
{
  GateSnapshot *old = snapshots->newest;

  INVARIANT (old == NULL || old->config->number <= snapshot->config->number,
             "configuration %lld would replace %lld", (long long)snapshot->config->number,
             (long long)old->config->number);
  __atomic_store_n (&snapshots->newest, snapshot, __ATOMIC_RELEASE);
  if (old == NULL)
    return;
  synchronize_rcu ();
  gate_snapshot_put (old);
}

GateSnapshot *
gate_snapshot_get (GateSnapshots *snapshots)
{
  GateSnapshot *snapshot;

  gate_rcu_register ();
  rcu_read_lock ();
  snapshot = __atomic_load_n (&snapshots->newest, __ATOMIC_ACQUIRE);
  if (snapshot != NULL)
    __atomic_add_fetch (&snapshot->refs, 1, __ATOMIC_ACQ_REL);
  rcu_read_unlock ();
  return snapshot;
}

GateSnapshot *
gate_snapshot_ref (GateSnapshot *snapshot)
{
  __atomic_add_fetch (&snapshot->refs, 1, __ATOMIC_ACQ_REL);
  return snapshot;
}

void
gate_snapshot_put (GateSnapshot *snapshot)
{
  int refs;

  if (snapshot == NULL)
    return;
  refs = __atomic_sub_fetch (&snapshot->refs, 1, __ATOMIC_ACQ_REL);
  INVARIANT (refs >= 0, "a snapshot has %d references", refs);
  if (refs == 0)
    snapshot_free (snapshot);
}
