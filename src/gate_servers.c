#include "gate_servers.h"
#include "choose_breaker.h"
#include "util_assert.h"
#include "util_counter.h"
#include "util_id.h"
#include "util_log.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

/* Longest time between an aborted answer and the refused connection that shows that its server
 * died. */
#define DEATH_WINDOW_MS   5000
#define BUSY_BACKOFF_MS   100 /* without new requests, after the server answered SERVER_BUSY */
#define LATENCY_SMOOTHING 0.1 /* weight of the newest value in the moving averages */

static GateServer *server_find (GateServers *servers, const char *name);
static GateServer *server_new (GateServers *servers, const char *name);

void
gate_servers_init (GateServers *servers, const char *vm, const char *failure_domain)
{
  *servers = (GateServers){ .vm_hash = id_hash_string (vm, 0), .failure_domain = failure_domain };
  pthread_mutex_init (&servers->lock, NULL);
  CDS_INIT_LIST_HEAD (&servers->list);
}

static GateServer *
server_find (GateServers *servers, const char *name)
{
  GateServer *server;

  cds_list_for_each_entry (server, &servers->list, list)
  {
    if (strcmp (server->name, name) == 0)
      return server;
  }
  return NULL;
}

static GateServer *
server_new (GateServers *servers, const char *name)
{
  GateServer *server = memory_alloc (sizeof (*server));

  server->owner = servers;
  server->name = memory_strdup (name);
  pthread_mutex_init (&server->lock, NULL);
  cds_list_add_tail (&server->list, &servers->list);
  return server;
}

GateServer **
gate_servers_resolve (GateServers *servers, const Config *config)
{
  GateServer **resolved = memory_array (config->server_count + 1, sizeof (GateServer *));

  pthread_mutex_lock (&servers->lock);
  for (size_t i = 0; i < config->server_count; i++)
    {
      resolved[i] = server_find (servers, config->servers[i].name);
      if (resolved[i] == NULL)
        resolved[i] = server_new (servers, config->servers[i].name);
      resolved[i]->refs++;
    }
  pthread_mutex_unlock (&servers->lock);
  return resolved;
}

void
gate_server_put (GateServer *server)
{
  GateServers *servers = server->owner;
  int refs;

  pthread_mutex_lock (&servers->lock);
  refs = --server->refs;
  if (refs == 0)
    cds_list_del (&server->list);
  pthread_mutex_unlock (&servers->lock);
  INVARIANT (refs >= 0, "server has %d references", refs);
  if (refs > 0)
    return;
  pthread_mutex_destroy (&server->lock);
  free (server->name);
  free (server);
}

void
gate_server_begin_attempt (GateServer *server, int64_t now_ms)
{
  pthread_mutex_lock (&server->lock);
  server->view.in_flight++;
  load_history_add (&server->history, &server->view, now_ms);
  breaker_sent (&server->view, now_ms);
  pthread_mutex_unlock (&server->lock);
}

void
gate_server_add_running (GateServer *server, uint64_t fingerprint)
{
  if (fingerprint == 0)
    return;
  pthread_mutex_lock (&server->lock);
  for (unsigned i = 0; i < QUARANTINE_FLIGHT_MAX; i++)
    {
      if (server->running[i] != 0)
        continue;
      server->running[i] = fingerprint;
      break;
    }
  pthread_mutex_unlock (&server->lock);
}

/* The lock must be held. A request that was not sent, or found all entries used, has no entry. */
static void
remove_running (GateServer *server, uint64_t fingerprint)
{
  for (unsigned i = 0; i < QUARANTINE_FLIGHT_MAX; i++)
    {
      if (server->running[i] != fingerprint)
        continue;
      server->running[i] = 0;
      return;
    }
}

void
gate_server_record_first_token (GateServer *server, double ms)
{
  ServerView *view = &server->view;
  double error;

  pthread_mutex_lock (&server->lock);
  if (view->latency_ms == 0)
    view->latency_ms = ms;
  error = ms - view->latency_ms;
  view->latency_ms += LATENCY_SMOOTHING * error;
  view->latency_var
      = (1 - LATENCY_SMOOTHING) * (view->latency_var + LATENCY_SMOOTHING * error * error);
  pthread_mutex_unlock (&server->lock);
}

/* A refused connection opens the circuit breaker at once: nothing listens there, and further
   attempts would only cost callers time. */
static void
mark_unreachable (ServerView *view, int64_t now_ms)
{
  if (view->failures < BREAKER_FAILURES - 1)
    view->failures = BREAKER_FAILURES - 1;
  breaker_failure (view, now_ms, id_random_u64 ());
}

static void
record_abort (GateServer *server, uint64_t fingerprint, int64_t now_ms)
{
  if (fingerprint == 0)
    return;
  server->aborts[server->next_abort] = (ServerAbort){ .fingerprint = fingerprint, .at_ms = now_ms };
  server->next_abort = (server->next_abort + 1) % QUARANTINE_FLIGHT_MAX;
}

static void
add_to_death (QuarantineDeath *death, uint64_t fingerprint)
{
  for (unsigned i = 0; i < death->count; i++)
    {
      if (death->flights[i] == fingerprint)
        return;
    }
  if (death->count < QUARANTINE_FLIGHT_MAX)
    death->flights[death->count++] = fingerprint;
}

/* Called with the lock held after a connection was refused. If answers were broken off shortly
   before, the server died while it ran them. All requests in progress there are added to the
   report, also those whose threads have not detected the death yet: reported one by one, the first
   would look like the cause. A server that was stopped or became unreachable has broken off no
   answers. */
static bool
find_death (GateServer *server, int64_t now_ms, QuarantineDeath *death)
{
  *death = (QuarantineDeath){ .server = id_hash_string (server->name, 0) };
  for (unsigned i = 0; i < QUARANTINE_FLIGHT_MAX; i++)
    {
      ServerAbort *aborted = &server->aborts[i];
      if (aborted->fingerprint != 0 && now_ms - aborted->at_ms <= DEATH_WINDOW_MS)
        add_to_death (death, aborted->fingerprint);
      aborted->fingerprint = 0;
    }
  if (death->count == 0)
    return false;
  for (unsigned i = 0; i < QUARANTINE_FLIGHT_MAX; i++)
    {
      if (server->running[i] != 0)
        add_to_death (death, server->running[i]);
    }
  return true;
}

/* The lock must be held. True for the first report of a death; later ones within DEATH_WINDOW_MS
   only add requests to it. */
static bool
is_first_report (GateServer *server, int64_t now_ms)
{
  bool first = server->died_ms == 0 || now_ms - server->died_ms > DEATH_WINDOW_MS;

  if (first)
    server->died_ms = now_ms;
  return first;
}

static void
report_death (GateServer *server, const QuarantineDeath *death, int64_t now_ms)
{
  GateServers *servers = server->owner;
  bool first;

  pthread_mutex_lock (&server->lock);
  first = is_first_report (server, now_ms);
  pthread_mutex_unlock (&server->lock);
  if (first)
    {
      counter_add (COUNTER_GATE_SERVER_DEATHS, 1);
      log_msg (MSG_GATE_SERVER_DIED, "server=\"%s\" requests=\"%u\"", server->name, death->count);
    }
  if (servers->quarantine != NULL)
    quarantine_add (servers->quarantine, death, now_ms);
  if (servers->observed_deaths != NULL && quarantine_add (servers->observed_deaths, death, now_ms)
      && servers->on_death != NULL)
    servers->on_death (servers->context);
}

static void
mark_busy (ServerView *view, int64_t now_ms)
{
  if (view->open_until_ms < now_ms + BUSY_BACKOFF_MS)
    view->open_until_ms = now_ms + BUSY_BACKOFF_MS;
}

void
gate_server_record_token_time (GateServer *server, double ms)
{
  ServerView *view = &server->view;

  pthread_mutex_lock (&server->lock);
  if (view->token_ms == 0)
    view->token_ms = ms;
  view->token_ms += LATENCY_SMOOTHING * (ms - view->token_ms);
  pthread_mutex_unlock (&server->lock);
}

void
gate_server_end_attempt (GateServer *server,
                         ServerResult result,
                         uint64_t fingerprint,
                         int64_t now_ms)
{
  ServerView *view = &server->view;
  QuarantineDeath death = { 0 };
  bool died = false;
  int64_t left;

  pthread_mutex_lock (&server->lock);
  left = --view->in_flight;
  remove_running (server, fingerprint);
  load_history_add (&server->history, view, now_ms);
  switch (result)
    {
    case SERVER_SUCCEEDED:
      breaker_success (view);
      break;
    case SERVER_UNREACHABLE:
      mark_unreachable (view, now_ms);
      died = find_death (server, now_ms, &death);
      break;
    case SERVER_FAILED:
      breaker_failure (view, now_ms, id_random_u64 ());
      record_abort (server, fingerprint, now_ms);
      break;
    case SERVER_BUSY:
      mark_busy (view, now_ms);
      break;
    case SERVER_NEUTRAL:
      break;
    }
  pthread_mutex_unlock (&server->lock);
  if (died)
    report_death (server, &death, now_ms);
  INVARIANT (left >= 0, "server=\"%s\" in_flight=\"%lld\"", server->name, (long long)left);
}

void
gate_server_record_report (GateServer *server,
                           int64_t load,
                           bool draining,
                           int64_t at_ms,
                           int64_t now_ms)
{
  pthread_mutex_lock (&server->lock);
  load_report (&server->history, &server->view, load, at_ms, now_ms);
  server->view.draining = draining;
  /* A server that was unreachable and reports again is tried at once. For one that reports but
     fails its attempts the breaker stays open until its time is over. */
  if (server->report_missed)
    breaker_success (&server->view);
  server->died_ms = 0;
  server->report_missed = false;
  pthread_mutex_unlock (&server->lock);
}

void
gate_server_record_missed_report (GateServer *server, bool refused, int64_t now_ms)
{
  QuarantineDeath death;
  bool died;

  pthread_mutex_lock (&server->lock);
  server->report_missed = true;
  mark_unreachable (&server->view, now_ms);
  died = refused && find_death (server, now_ms, &death);
  pthread_mutex_unlock (&server->lock);
  if (died)
    report_death (server, &death, now_ms);
}

void
gate_server_copy_view (GateServer *server, ServerView *out)
{
  pthread_mutex_lock (&server->lock);
  *out = server->view;
  pthread_mutex_unlock (&server->lock);
}
