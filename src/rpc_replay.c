/**
 * Replay protection with one sliding window per sender, in a hash table of fixed size.
 */
#include "rpc_replay.h"
#include "util_memory.h"
#include <stddef.h>
#include <stdlib.h>

#define WINDOW_BITS  64 /* sequence numbers remembered per sender */
#define BUCKET_COUNT 256
#define BUCKET_SIZE  (RPC_REPLAY_SENDERS_MAX / BUCKET_COUNT)

typedef struct
{
  uint64_t sender;
  uint64_t highest;   /**< 0: the entry is free */
  uint64_t received;  /**< bit i: sequence number highest - i was received */
  uint64_t last_used; /**< tick of the latest message */
} ReplayEntry;

struct RpcReplay
{
  uint64_t tick; /* number of messages checked */
  /* Senders are random incarnations, so their low bits distribute them evenly. */
  ReplayEntry buckets[BUCKET_COUNT][BUCKET_SIZE];
};

static ReplayEntry *entry_find_or_evict (RpcReplay *replay, uint64_t sender);
static bool entry_accept (ReplayEntry *entry, uint64_t sequence);

RpcReplay *
rpc_replay_new (void)
{
  return memory_alloc (sizeof (RpcReplay));
}

void
rpc_replay_free (RpcReplay *replay)
{
  free (replay);
}

bool
rpc_replay_accept (RpcReplay *replay, uint64_t sender, uint64_t sequence)
{
  ReplayEntry *entry = entry_find_or_evict (replay, sender);

  if (sequence == 0)
    return false;
  entry->last_used = ++replay->tick;
  return entry_accept (entry, sequence);
}

static ReplayEntry *
entry_find_or_evict (RpcReplay *replay, uint64_t sender)
{
  ReplayEntry *bucket = replay->buckets[sender % BUCKET_COUNT];
  ReplayEntry *oldest = &bucket[0];
  size_t i;

  for (i = 0; i < BUCKET_SIZE; i++)
    {
      if (bucket[i].highest != 0 && bucket[i].sender == sender)
        return &bucket[i];
      if (bucket[i].last_used < oldest->last_used)
        oldest = &bucket[i];
    }
  *oldest = (ReplayEntry){ .sender = sender };
  return oldest;
}

static bool
entry_accept (ReplayEntry *entry, uint64_t sequence)
{
  uint64_t distance;

  if (sequence > entry->highest)
    {
      distance = sequence - entry->highest;
      entry->received = distance < WINDOW_BITS ? entry->received << distance : 0;
      entry->received |= 1;
      entry->highest = sequence;
      return true;
    }
  distance = entry->highest - sequence;
  if (distance >= WINDOW_BITS || (entry->received >> distance & 1) != 0)
    return false;
  entry->received |= (uint64_t)1 << distance;
  return true;
}
