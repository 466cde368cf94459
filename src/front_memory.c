#include "front_memory.h"
#include "util_assert.h"

#define BYTES_PER_MB ((double)(1 << 20))
/* Of the VM's memory. The rest is for the process itself, which grows with the site, and for the
 * kernel's buffers of the callers' connections. */
#define CALLERS_SHARE 0.25
#define BUFFERS_SHARE 0.3 /* for those in the kernel */
/* Of that, for bodies and for answers each; the rest is always left to short requests. */
#define USE_SHARE 0.375

void
front_memory_set (FrontMemory *memory, double machine_mb)
{
  double mb = machine_mb > 0 ? machine_mb : MEMORY_DEFAULT_MB;

  memory->machine = (size_t)(mb * BYTES_PER_MB);
  memory->max = (size_t)((double)memory->machine * CALLERS_SHARE);
  memory->use_max = (size_t)((double)memory->max * USE_SHARE);
  memory->answer_max
      = memory->use_max < MEMORY_ANSWER_MAX_BYTES ? memory->use_max : MEMORY_ANSWER_MAX_BYTES;
}

unsigned
front_memory_connections_max (const FrontMemory *memory, size_t buffer_bytes)
{
  return (unsigned)((double)memory->machine * BUFFERS_SHARE / (double)buffer_bytes);
}

void
front_memory_change (FrontMemory *memory, MemoryUse use, size_t from, size_t to)
{
  INVARIANT (memory->held[use] >= from, "use=\"%d\" held=\"%zu\" from=\"%zu\"", (int)use,
             memory->held[use], from);
  memory->held[use] += to - from;
}

size_t
front_memory_held (const FrontMemory *memory)
{
  size_t held = 0;

  for (unsigned i = 0; i < MEMORY_USES; i++)
    held += memory->held[i];
  return held;
}

bool
front_memory_is_over (const FrontMemory *memory)
{
  return front_memory_held (memory) > memory->max;
}

bool
front_memory_bodies_are_full (const FrontMemory *memory)
{
  return memory->held[MEMORY_BODIES] > memory->use_max;
}

bool
front_memory_unread_leaves (const FrontMemory *memory, size_t bytes)
{
  return memory->held[MEMORY_UNREAD] + bytes <= memory->use_max;
}

bool
front_memory_answers_leave (const FrontMemory *memory, size_t bytes)
{
  return memory->held[MEMORY_UNREAD] + memory->held[MEMORY_ANSWERS] + bytes <= memory->use_max;
}

bool
front_memory_unread_is_full (const FrontMemory *memory)
{
  return !front_memory_unread_leaves (memory, memory->answer_max);
}
