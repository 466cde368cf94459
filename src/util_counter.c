#include "util_counter.h"
#include "util_assert.h"
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <urcu/list.h>

#define CACHE_LINE 64 /* bytes */

/* One thread's part of every counter: written by that thread only, read by any thread. */
typedef struct
{
  struct cds_list_head node;
  _Alignas(CACHE_LINE) _Atomic int64_t values[COUNTER_COUNT];
} CounterShard;

static const char *const names[] = {
#define COUNTER(id, name, help) [COUNTER_##id] = (name),
#include "counter_all.def"
#undef COUNTER
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* The list head is embedded in a shard because cds_list_for_each_entry computes a shard pointer
 * from it at the end of the list, which must be aligned like one. */
static CounterShard shards = { .node = CDS_LIST_HEAD_INIT (shards.node) };
static int64_t retired[COUNTER_COUNT]; /* sums of the threads that have exited */
static pthread_key_t shard_key;
static pthread_once_t key_once = PTHREAD_ONCE_INIT;
static _Thread_local CounterShard *thread_shard;

/* Adds the sums of an exiting thread to retired; without them the totals would decrease. */
static void
shard_retire (void *arg)
{
  CounterShard *shard = arg;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < COUNTER_COUNT; i++)
    retired[i] += atomic_load_explicit (&shard->values[i], memory_order_relaxed);
  cds_list_del (&shard->node);
  pthread_mutex_unlock (&lock);
  thread_shard = NULL;
  free (shard);
}

static void
key_create (void)
{
  pthread_key_create (&shard_key, shard_retire);
}

static CounterShard *
shard_new (void)
{
  CounterShard *shard = aligned_alloc (CACHE_LINE, sizeof *shard);

  INVARIANT (shard, "size=\"%zu\"", sizeof *shard);
  *shard = (CounterShard){ 0 };
  return shard;
}

static CounterShard *
shard_get (void)
{
  if (thread_shard)
    return thread_shard;
  pthread_once (&key_once, key_create);
  thread_shard = shard_new ();
  pthread_setspecific (shard_key, thread_shard);
  pthread_mutex_lock (&lock);
  cds_list_add (&thread_shard->node, &shards.node);
  pthread_mutex_unlock (&lock);
  return thread_shard;
}

void
counter_add (CounterId id, int64_t n)
{
  _Atomic int64_t *value = &shard_get ()->values[id];
  int64_t old = atomic_load_explicit (value, memory_order_relaxed);

  atomic_store_explicit (value, old + n, memory_order_relaxed);
}

int64_t
counter_value (CounterId id)
{
  CounterShard *shard;
  int64_t sum;

  pthread_mutex_lock (&lock);
  sum = retired[id];
  cds_list_for_each_entry (shard, &shards.node, node)
  {
    sum += atomic_load_explicit (&shard->values[id], memory_order_relaxed);
  }
  pthread_mutex_unlock (&lock);
  return sum;
}

void
counter_text (Buffer *out)
{
  for (int i = 0; i < COUNTER_COUNT; i++)
    buffer_printf (out, "%s %lld\n", names[i], (long long)counter_value ((CounterId)i));
}
