/**
 * Guard against repeated messages.
 */
#include "rpc_replay.h"
#include "util_memory.h"
#include <stddef.h>
#include <stdlib.h>

#define WINDOW_BITS  64
#define BUCKET_COUNT 256
#define BUCKET_SIZE  (RPC_REPLAY_SENDERS_MAX / BUCKET_COUNT)

typedef struct
{
  uint64_t sender;
  uint64_t highest; /**< 0: the entry is free */
  uint64_t seen;    /**< bit i: highest - i was seen */
  uint64_t used;    /**< tick of the last message */
} ReplayEntry;

struct RpcReplay
{
  uint64_t tick;
  /* Incarnations are random, so their low bits spread them over the buckets. */
  ReplayEntry buckets[BUCKET_COUNT][BUCKET_SIZE];
};

static ReplayEntry *entry_of (RpcReplay *replay, uint64_t sender);
static bool entry_take (ReplayEntry *entry, uint64_t sequence);

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
  ReplayEntry *entry = entry_of (replay, sender);

  if (sequence == 0)
    return false;
  entry->used = ++replay->tick;
  return entry_take (entry, sequence);
}

static ReplayEntry *
entry_of (RpcReplay *replay, uint64_t sender)
{
  ReplayEntry *bucket = replay->buckets[sender % BUCKET_COUNT];
  ReplayEntry *oldest = &bucket[0];
  size_t i;

  for (i = 0; i < BUCKET_SIZE; i++)
    {
      if (bucket[i].highest != 0 && bucket[i].sender == sender)
        return &bucket[i];
      if (bucket[i].used < oldest->used)
        oldest = &bucket[i];
    }
  *oldest = (ReplayEntry){ .sender = sender };
  return oldest;
}

static bool
entry_take (ReplayEntry *entry, uint64_t sequence)
{
  uint64_t distance;

  if (sequence > entry->highest)
    {
      distance = sequence - entry->highest;
      entry->seen = distance < WINDOW_BITS ? entry->seen << distance : 0;
      entry->seen |= 1;
      entry->highest = sequence;
      return true;
    }
  distance = entry->highest - sequence;
  if (distance >= WINDOW_BITS || (entry->seen >> distance & 1) != 0)
    return false;
  entry->seen |= (uint64_t)1 << distance;
  return true;
}
