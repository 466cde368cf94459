#include "steward_orders.h"
#include "steward_cluster.h"
#include "steward_orders_call.h"
#include "steward_orders_state.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_log.h"
#include "util_memory.h"
#include "util_wait.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUND_INTERVAL_MS 250
/* Load reports lag: the first check follows an order after this time. The interval doubles with
   each further order, up to the maximum. */
#define CHECK_INTERVAL_MIN_MS 2000
#define CHECK_INTERVAL_MAX_MS 30000
/* Upper bound on the engines checked per second; a report has about 500 bytes. */
#define CHECKS_PER_S_MAX 5

/** The last order sent to an engine. */
typedef struct
{
  char name[CONFIG_NAME_MAX + 1];
  char *text;            /**< text of the order; NULL: none yet */
  int64_t fence;         /**< fencing number of the order */
  int64_t number;        /**< newest configuration that leads to this order */
  bool accepted;         /**< the engine accepted the order */
  int64_t next_check_at; /**< time of the next check, or of the next attempt if the order was not
                            accepted */
  int64_t interval_ms;   /**< from the next order to its check; doubles with each order */
} Engine;

struct StewardOrders
{
  Steward *s;
  StewardDuty *duty;
  pthread_t thread;
  pthread_mutex_t lock; /**< guards stop and the engines; only the thread changes the engines */
  pthread_cond_t wake;
  bool stop;
  Engine *engines;
  size_t count;
};

static Engine *
find (const StewardOrders *o, const char *name)
{
  for (size_t i = 0; i < o->count; i++)
    if (strcmp (o->engines[i].name, name) == 0)
      return &o->engines[i];
  return NULL;
}

static Engine *
find_or_add (StewardOrders *o, const char *name)
{
  Engine *engine;

  pthread_mutex_lock (&o->lock);
  engine = find (o, name);
  if (engine == NULL)
    {
      o->engines = memory_grow (o->engines, o->count + 1, sizeof *o->engines);
      engine = &o->engines[o->count++];
      *engine = (Engine){ 0 };
      snprintf (engine->name, sizeof engine->name, "%s", name);
    }
  pthread_mutex_unlock (&o->lock);
  return engine;
}

static void
log_failure (const ConfigServer *server, StatusCode code, int64_t fence, const Status *st)
{
  char quoted[STATUS_MESSAGE_MAX * 2];

  counter_add (COUNTER_STEWARD_ORDERS_REFUSED, code == STATUS_DENIED ? 1 : 0);
  log_msg (code == STATUS_DENIED ? MSG_STEWARD_ORDER_REFUSED : MSG_STEWARD_ORDER_FAILED,
           "server=\"%s\" fence=\"%lld\" step=\"%s\" error=\"%s\"", server->name, (long long)fence,
           st->step, log_quote (st->message, quoted, sizeof quoted));
}

/* The interval doubles with each order, so that an engine that does not answer, or that accepts
   orders without loading the versions, is sent orders less and less often. */
static void
send_order (StewardOrders *o,
            Engine *engine,
            const ConfigServer *server,
            struct json_object *order,
            int64_t fence)
{
  Status st = { 0 };
  StatusCode code = orders_send (server, order, o->duty, &st);

  counter_add (COUNTER_STEWARD_ORDERS, 1);
  if (code != STATUS_OK)
    log_failure (server, code, fence, &st);
  pthread_mutex_lock (&o->lock);
  engine->accepted = code == STATUS_OK;
  engine->fence = fence;
  engine->next_check_at = clock_boot_ms () + engine->interval_ms;
  pthread_mutex_unlock (&o->lock);
  engine->interval_ms = 2 * engine->interval_ms < CHECK_INTERVAL_MAX_MS ? 2 * engine->interval_ms
                                                                        : CHECK_INTERVAL_MAX_MS;
}

static int64_t
check_interval_ms (const StewardOrders *o)
{
  int64_t min_ms = (int64_t)o->count * 1000 / CHECKS_PER_S_MAX;

  return min_ms > CHECK_INTERVAL_MAX_MS ? min_ms : CHECK_INTERVAL_MAX_MS;
}

/* Reads back what the engine has loaded. This is repeated from time to time, since an engine that
   does not check fencing numbers may have executed a late order of an earlier holder, and any
   engine may have been restarted. */
static bool
has_versions (StewardOrders *o,
              Engine *engine,
              const ConfigServer *server,
              struct json_object *order)
{
  struct json_object *report;
  Status st = { 0 };
  bool met;

  if (orders_read_back (server, &report, &st) != STATUS_OK)
    return false;
  met = orders_met (order, report);
  json_object_put (report);
  if (met)
    {
      engine->interval_ms = CHECK_INTERVAL_MIN_MS;
      engine->next_check_at = clock_boot_ms () + check_interval_ms (o);
    }
  else
    log_msg (MSG_STEWARD_ORDER_AGAIN, "server=\"%s\"", server->name);
  return met;
}

static bool
was_sent (const Engine *engine, const char *text)
{
  return engine->text != NULL && strcmp (engine->text, text) == 0;
}

static void
set_text (Engine *engine, const char *text)
{
  free (engine->text);
  engine->text = memory_strdup (text);
  engine->interval_ms = CHECK_INTERVAL_MIN_MS;
}

/* The number is set only after the attempt to send the order, so that no stage begins before
   it. */
static void
set_number (StewardOrders *o, Engine *engine, int64_t number)
{
  pthread_mutex_lock (&o->lock);
  engine->number = number;
  pthread_mutex_unlock (&o->lock);
}

static void
update_engine (StewardOrders *o,
               const Config *config,
               const ConfigServer *server,
               int64_t fence,
               bool in_force)
{
  Engine *engine = find_or_add (o, server->name);
  struct json_object *order = orders_desired (config, server, fence, in_force);
  const char *text = json_object_to_json_string_ext (order, JSON_C_TO_STRING_PLAIN);

  if (!was_sent (engine, text))
    {
      set_text (engine, text);
      send_order (o, engine, server, order, fence);
    }
  else if (clock_boot_ms () >= engine->next_check_at
           && (!engine->accepted || !has_versions (o, engine, server, order)))
    send_order (o, engine, server, order, fence);
  set_number (o, engine, config->number);
  json_object_put (order);
}

static bool
stopped (StewardOrders *o)
{
  bool stop;

  pthread_mutex_lock (&o->lock);
  stop = o->stop;
  pthread_mutex_unlock (&o->lock);
  return stop;
}

static bool
gets_orders (const ConfigServer *server)
{
  return server->kind == SERVER_ENGINE && !server->leaving && server->version_count > 0;
}

static void
run_round (StewardOrders *o)
{
  Config *config = steward_document_config (&o->s->document);
  bool in_force;

  if (config == NULL)
    return;
  in_force = steward_cluster_progress (o->s, config->number, clock_boot_ms ()).in_force;
  for (size_t i = 0; i < config->server_count && !stopped (o); i++)
    {
      int64_t fence = steward_duty_fence (o->duty);
      if (fence == 0)
        break;
      if (gets_orders (&config->servers[i]))
        update_engine (o, config, &config->servers[i], fence, in_force);
    }
  config_unref (config);
}

static void *
run (void *context)
{
  StewardOrders *o = context;

  pthread_mutex_lock (&o->lock);
  while (!o->stop)
    {
      pthread_mutex_unlock (&o->lock);
      if (steward_duty_may_order (o->duty))
        run_round (o);
      pthread_mutex_lock (&o->lock);
      if (!o->stop)
        (void)wait_ms (&o->wake, &o->lock, ROUND_INTERVAL_MS);
    }
  pthread_mutex_unlock (&o->lock);
  return NULL;
}

StewardOrders *
steward_orders_start (Steward *s, StewardDuty *duty)
{
  StewardOrders *o = memory_alloc (sizeof *o);

  o->s = s;
  o->duty = duty;
  pthread_mutex_init (&o->lock, NULL);
  wait_init (&o->wake);
  int error = pthread_create (&o->thread, NULL, run, o);
  INVARIANT (error == 0, "pthread_create: %s", strerror (error));
  return o;
}

void
steward_orders_stop (StewardOrders *o)
{
  pthread_mutex_lock (&o->lock);
  o->stop = true;
  pthread_cond_signal (&o->wake);
  pthread_mutex_unlock (&o->lock);
  pthread_join (o->thread, NULL);
  for (size_t i = 0; i < o->count; i++)
    free (o->engines[i].text);
  free (o->engines);
  pthread_cond_destroy (&o->wake);
  pthread_mutex_destroy (&o->lock);
  free (o);
}

static bool
serves (const ConfigServer *server, unsigned version)
{
  for (size_t i = 0; i < server->version_count; i++)
    if (server->versions[i] == version)
      return true;
  return false;
}

bool
steward_orders_sent (StewardOrders *o, const Config *config, unsigned version)
{
  int64_t fence = steward_duty_fence (o->duty);
  bool sent = fence > 0;

  pthread_mutex_lock (&o->lock);
  for (size_t i = 0; sent && i < config->server_count; i++)
    {
      const ConfigServer *server = &config->servers[i];
      const Engine *engine;
      if (!gets_orders (server) || !serves (server, version))
        continue;
      engine = find (o, server->name);
      sent = engine != NULL && engine->fence == fence && engine->number >= config->number;
    }
  pthread_mutex_unlock (&o->lock);
  return sent;
}
