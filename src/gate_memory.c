#include "gate_memory.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_wait.h"

/* Of the process's memory. The rest is for the process itself and for requests to servers that
 * don't read them. */
#define REQUESTS_SHARE    0.3
#define ANSWERS_SHARE     0.16
#define CONNECTIONS_SHARE 0.3
/* Of what requests may take, for long ones. */
#define LONG_SHARE 0.75
/* Memory of a connection with its thread and its buffers in the kernel, besides its request. */
#define CONNECTION_BYTES 81920
/* In addition to two connections for each request in progress. */
#define CONNECTIONS_SPARE 64

void
gate_memory_init (GateMemory *memory, int64_t bytes, int64_t streams_max)
{
  int64_t fitting = (int64_t)((double)bytes * CONNECTIONS_SHARE / CONNECTION_BYTES);
  int64_t wanted = 2 * streams_max + CONNECTIONS_SPARE;

  *memory = (GateMemory){
    .max[GATE_MEMORY_REQUESTS] = (size_t)((double)bytes * REQUESTS_SHARE),
    .max[GATE_MEMORY_ANSWERS] = (size_t)((double)bytes * ANSWERS_SHARE),
    .connections_max = (unsigned)(wanted < fitting ? wanted : fitting),
  };
  pthread_mutex_init (&memory->lock, NULL);
  wait_init (&memory->changed);
}

void
gate_memory_clear (GateMemory *memory)
{
  pthread_cond_destroy (&memory->changed);
  pthread_mutex_destroy (&memory->lock);
}

bool
gate_memory_take_request (GateMemory *memory, size_t bytes, bool is_short)
{
  size_t *held = &memory->held[GATE_MEMORY_REQUESTS];
  double max = (double)memory->max[GATE_MEMORY_REQUESTS] * (is_short ? 1 : LONG_SHARE);
  bool has_room;

  pthread_mutex_lock (&memory->lock);
  has_room = (double)(*held + bytes) <= max;
  if (has_room)
    *held += bytes;
  pthread_mutex_unlock (&memory->lock);
  return has_room;
}

bool
gate_memory_take_answer (GateMemory *memory, size_t bytes, int64_t timeout_ms)
{
  size_t *held = &memory->held[GATE_MEMORY_ANSWERS];
  int64_t until_ms = clock_boot_ms () + timeout_ms;
  int64_t left_ms = timeout_ms;
  bool has_room;

  pthread_mutex_lock (&memory->lock);
  memory->waiting++;
  while (*held + bytes > memory->max[GATE_MEMORY_ANSWERS] && left_ms > 0)
    {
      wait_ms (&memory->changed, &memory->lock, (int)left_ms);
      left_ms = until_ms - clock_boot_ms ();
    }
  memory->waiting--;
  has_room = *held + bytes <= memory->max[GATE_MEMORY_ANSWERS];
  if (has_room)
    *held += bytes;
  pthread_mutex_unlock (&memory->lock);
  return has_room;
}

void
gate_memory_give (GateMemory *memory, GateMemoryUse use, size_t bytes)
{
  if (bytes == 0)
    return;
  pthread_mutex_lock (&memory->lock);
  INVARIANT (memory->held[use] >= bytes, "use=\"%d\" held=\"%zu\" bytes=\"%zu\"", (int)use,
             memory->held[use], bytes);
  memory->held[use] -= bytes;
  pthread_cond_broadcast (&memory->changed);
  pthread_mutex_unlock (&memory->lock);
}

bool
gate_memory_is_waited_for (GateMemory *memory)
{
  bool is_waited_for;

  pthread_mutex_lock (&memory->lock);
  is_waited_for = memory->waiting > 0;
  pthread_mutex_unlock (&memory->lock);
  return is_waited_for;
}

size_t
gate_memory_held (GateMemory *memory, GateMemoryUse use)
{
  size_t held;

  pthread_mutex_lock (&memory->lock);
  held = memory->held[use];
  pthread_mutex_unlock (&memory->lock);
  return held;
}
