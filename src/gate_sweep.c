#include "gate_sweep.h"
#include "gate_raw.h"
#include "gate_refusal.h"
#include "gate_thread.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_memory.h"
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <urcu/list.h>

#define SWEEP_INTERVAL_MS 250

typedef enum
{
  SWEEP_CONNECTED, /**< nothing of the first request has arrived */
  SWEEP_READING,   /**< a request is arriving */
  SWEEP_WORKING,   /**< a request is being answered, or the connection has been shut down */
  SWEEP_IDLE
} SweepState;

struct SweepEntry
{
  struct cds_list_head list;
  int fd;
  SweepState state;
  int64_t since_ms; /* boot-time clock; when the state was set */
};

struct GateSweep
{
  pthread_mutex_t lock;
  pthread_t thread;
  bool stop; /* atomic */
  int64_t read_timeout_ms;
  int64_t idle_timeout_ms;
  struct cds_list_head entries;
};

static void set_state (GateSweep *sweep, SweepEntry *entry, SweepState state);
static void *sweep_run (void *context);

static bool
overdue (const GateSweep *sweep, const SweepEntry *entry, int64_t now_ms)
{
  int64_t age_ms = now_ms - entry->since_ms;

  switch (entry->state)
    {
    case SWEEP_CONNECTED:
    case SWEEP_READING:
      return age_ms > sweep->read_timeout_ms;
    case SWEEP_IDLE:
      return age_ms > sweep->read_timeout_ms + sweep->idle_timeout_ms;
    case SWEEP_WORKING:
      break;
    }
  return false;
}

static void
refuse_slow_caller (const SweepEntry *entry)
{
  Refusal refusal = { 0 };

  counter_add (COUNTER_GATE_READ_TIMEOUTS, 1);
  if (entry->state == SWEEP_READING)
    {
      refusal_set (&refusal, REFUSAL_READ_TIMEOUT, REQUEST_NOT_RUN, "request.read", NULL);
      gate_raw_refuse (entry->fd, &refusal);
    }
  shutdown (entry->fd, SHUT_RDWR);
}

static void *
sweep_run (void *context)
{
  GateSweep *sweep = context;

  while (!__atomic_load_n (&sweep->stop, __ATOMIC_ACQUIRE))
    {
      SweepEntry *entry;
      int64_t now_ms = clock_boot_ms ();

      pthread_mutex_lock (&sweep->lock);
      cds_list_for_each_entry (entry, &sweep->entries, list)
      {
        if (!overdue (sweep, entry, now_ms))
          continue;
        refuse_slow_caller (entry);
        entry->state = SWEEP_WORKING;
      }
      pthread_mutex_unlock (&sweep->lock);
      clock_sleep_ms (SWEEP_INTERVAL_MS);
    }
  return NULL;
}

GateSweep *
gate_sweep_start (const SettingsGate *settings)
{
  GateSweep *sweep = memory_alloc (sizeof (*sweep));

  pthread_mutex_init (&sweep->lock, NULL);
  CDS_INIT_LIST_HEAD (&sweep->entries);
  sweep->read_timeout_ms = settings->read_timeout_ms;
  sweep->idle_timeout_ms = settings->idle_timeout_ms;
  gate_thread_start (&sweep->thread, sweep_run, sweep);
  return sweep;
}

void
gate_sweep_stop (GateSweep *sweep)
{
  __atomic_store_n (&sweep->stop, true, __ATOMIC_RELEASE);
  pthread_join (sweep->thread, NULL);
  pthread_mutex_destroy (&sweep->lock);
  free (sweep);
}

SweepEntry *
gate_sweep_add (GateSweep *sweep, int fd)
{
  SweepEntry *entry = memory_alloc (sizeof (*entry));

  entry->fd = fd;
  entry->state = SWEEP_CONNECTED;
  entry->since_ms = clock_boot_ms ();
  pthread_mutex_lock (&sweep->lock);
  cds_list_add_tail (&entry->list, &sweep->entries);
  pthread_mutex_unlock (&sweep->lock);
  return entry;
}

void
gate_sweep_remove (GateSweep *sweep, SweepEntry *entry)
{
  if (entry == NULL)
    return;
  pthread_mutex_lock (&sweep->lock);
  cds_list_del (&entry->list);
  pthread_mutex_unlock (&sweep->lock);
  free (entry);
}

static void
set_state (GateSweep *sweep, SweepEntry *entry, SweepState state)
{
  if (entry == NULL)
    return;
  pthread_mutex_lock (&sweep->lock);
  entry->state = state;
  entry->since_ms = clock_boot_ms ();
  pthread_mutex_unlock (&sweep->lock);
}

void
gate_sweep_set_reading (GateSweep *sweep, SweepEntry *entry)
{
  set_state (sweep, entry, SWEEP_READING);
}

void
gate_sweep_set_working (GateSweep *sweep, SweepEntry *entry)
{
  set_state (sweep, entry, SWEEP_WORKING);
}

void
gate_sweep_set_idle (GateSweep *sweep, SweepEntry *entry)
{
  set_state (sweep, entry, SWEEP_IDLE);
}

size_t
gate_sweep_active_count (GateSweep *sweep)
{
  size_t active = 0;
  SweepEntry *entry;

  pthread_mutex_lock (&sweep->lock);
  cds_list_for_each_entry (entry, &sweep->entries, list)
  {
    if (entry->state != SWEEP_IDLE)
      active++;
  }
  pthread_mutex_unlock (&sweep->lock);
  return active;
}
