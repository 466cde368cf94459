#include "gate_watch.h"
#include "gate_thread.h"
#include "http_client.h"
#include "util_clock.h"
#include "util_counter.h"
#include <poll.h>
#include <stdio.h>
#include <string.h>

#define WATCH_INTERVAL_MS 100
#define CANCELS_PER_ROUND 32 /* answers collected under one hold of the lock */
#define CANCEL_TIMEOUT_MS 1000
#define CANCEL_ANSWER_MAX 4096 /* bytes */
#define ADDRESS_MAX       64   /* bytes, with the final NUL */
#define UNRESPONSIVE_MAX  16   /* engines kept */
#define UNRESPONSIVE_MS   5000

/** An answer to cancel at its engine, copied so that the lock is not held during the call. */
typedef struct
{
  char address[ADDRESS_MAX];
  int port;
  char id[WATCH_ID_MAX];
} Cancel;

/** Engines that recently did not respond to a cancellation. */
typedef struct
{
  Cancel engines[UNRESPONSIVE_MAX];
  int64_t until_ms[UNRESPONSIVE_MAX];
  size_t next;
} UnresponsiveEngines;

static void *watch_run (void *context);

bool
gate_watch_socket_closed (int fd)
{
  struct pollfd p = { .fd = fd, .events = POLLRDHUP };

  if (fd < 0 || poll (&p, 1, 0) <= 0)
    return false;
  return (p.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

bool
gate_watch_caller_left (const WatchEntry *entry)
{
  return __atomic_load_n (&entry->caller_left, __ATOMIC_ACQUIRE);
}

void
gate_watch_set_relayed (WatchEntry *entry)
{
  __atomic_store_n (&entry->relayed, true, __ATOMIC_RELEASE);
}

bool
gate_watch_is_relayed (const WatchEntry *entry)
{
  return __atomic_load_n (&entry->relayed, __ATOMIC_ACQUIRE);
}

bool
gate_watch_cancel (const char *address, int port, const char *id)
{
  char path[WATCH_ID_MAX + 16];
  HttpRequest request = {
    .method = "DELETE",
    .address = address,
    .port = port,
    .path = path,
    .connect_timeout_ms = CANCEL_TIMEOUT_MS,
    .read_timeout_ms = CANCEL_TIMEOUT_MS,
    .answer_max = CANCEL_ANSWER_MAX,
  };
  Buffer answer = { 0 };
  int http_status = 0;
  Status st = { 0 };
  bool cancelled;

  snprintf (path, sizeof (path), "/v1/streams/%s", id);
  cancelled = http_call (&request, &http_status, &answer, &st) == STATUS_OK;
  if (!cancelled)
    counter_add (COUNTER_GATE_CANCELS_MISSED, 1);
  buffer_free (&answer);
  return cancelled;
}

/* True, once per entry, if its answer must be cancelled; records why in the entry. */
static bool
must_cancel (WatchEntry *entry, int64_t now_ms)
{
  if (entry->past_deadline || gate_watch_caller_left (entry))
    return false;
  if (gate_watch_socket_closed (entry->fd))
    {
      __atomic_store_n (&entry->caller_left, true, __ATOMIC_RELEASE);
      return true;
    }
  entry->past_deadline
      = entry->deadline_ms > 0 && now_ms >= entry->deadline_ms && !gate_watch_is_relayed (entry);
  return entry->past_deadline;
}

static size_t
collect_cancels (GateWatch *watch, Cancel cancels[CANCELS_PER_ROUND])
{
  WatchEntry *entry;
  size_t count = 0;
  int64_t now_ms = clock_boot_ms ();

  pthread_mutex_lock (&watch->lock);
  cds_list_for_each_entry (entry, &watch->entries, list)
  {
    Cancel *cancel = &cancels[count];
    if (count == CANCELS_PER_ROUND)
      break;
    if (!must_cancel (entry, now_ms))
      continue;
    snprintf (cancel->address, sizeof (cancel->address), "%s", entry->config_server->address);
    snprintf (cancel->id, sizeof (cancel->id), "%s", entry->id);
    cancel->port = entry->config_server->port;
    count++;
  }
  pthread_mutex_unlock (&watch->lock);
  return count;
}

static bool
is_unresponsive (const UnresponsiveEngines *unresponsive, const Cancel *cancel)
{
  int64_t now_ms = clock_boot_ms ();

  for (size_t i = 0; i < UNRESPONSIVE_MAX; i++)
    {
      if (unresponsive->until_ms[i] > now_ms && unresponsive->engines[i].port == cancel->port
          && strcmp (unresponsive->engines[i].address, cancel->address) == 0)
        return true;
    }
  return false;
}

/* An engine that hangs would block the watch thread for a second for each of its callers that
   leave, and so delay the cancellations at all other engines. It gets no cancellations for
   UNRESPONSIVE_MS. */
static void
cancel_at (UnresponsiveEngines *unresponsive, const Cancel *cancel)
{
  if (is_unresponsive (unresponsive, cancel))
    return;
  if (gate_watch_cancel (cancel->address, cancel->port, cancel->id))
    return;
  unresponsive->engines[unresponsive->next] = *cancel;
  unresponsive->until_ms[unresponsive->next] = clock_boot_ms () + UNRESPONSIVE_MS;
  unresponsive->next = (unresponsive->next + 1) % UNRESPONSIVE_MAX;
}

static void *
watch_run (void *context)
{
  GateWatch *watch = context;
  Cancel cancels[CANCELS_PER_ROUND];
  UnresponsiveEngines unresponsive = { 0 };

  while (!__atomic_load_n (&watch->stop, __ATOMIC_ACQUIRE))
    {
      size_t count = collect_cancels (watch, cancels);
      for (size_t i = 0; i < count; i++)
        cancel_at (&unresponsive, &cancels[i]);
      if (count < CANCELS_PER_ROUND)
        clock_sleep_ms (WATCH_INTERVAL_MS);
    }
  return NULL;
}

void
gate_watch_start (GateWatch *watch)
{
  *watch = (GateWatch){ 0 };
  pthread_mutex_init (&watch->lock, NULL);
  CDS_INIT_LIST_HEAD (&watch->entries);
  gate_thread_start (&watch->thread, watch_run, watch);
}

void
gate_watch_stop (GateWatch *watch)
{
  __atomic_store_n (&watch->stop, true, __ATOMIC_RELEASE);
  pthread_join (watch->thread, NULL);
  pthread_mutex_destroy (&watch->lock);
}

void
gate_watch_add (GateWatch *watch, WatchEntry *entry)
{
  pthread_mutex_lock (&watch->lock);
  cds_list_add_tail (&entry->list, &watch->entries);
  pthread_mutex_unlock (&watch->lock);
}

void
gate_watch_remove (GateWatch *watch, WatchEntry *entry)
{
  pthread_mutex_lock (&watch->lock);
  cds_list_del (&entry->list);
  pthread_mutex_unlock (&watch->lock);
}
