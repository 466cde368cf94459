#include "gate_http.h"
#include "gate_callers.h"
#include "gate_raw.h"
#include "gate_refused.h"
#include "gate_request.h"
#include "gate_respond.h"
#include "gate_run.h"
#include "gate_sweep.h"
#include "util_clock.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define STEP              "http.start"
#define STACK_SIZE        (256UL * 1024) /**< bytes, per connection's thread */
#define CONNECTION_MEMORY (16UL * 1024)  /**< bytes in addition to the head: responses */
/* Never reached, as gate_callers.c has a lower one: libmicrohttpd keeps a lock for good when a
   connection is beyond its own limit. */
#define CONNECTIONS_MAX 1000000
#define DRAIN_MAX_MS    500 /**< longest wait of a stop; see drain */
#define DRAIN_STEP_MS   10  /**< interval of its checks */

struct GateHttp
{
  Gate *gate;
  GateSweep *sweep;
  GateCallers *callers;
  struct MHD_Daemon *daemon;
};

typedef struct
{
  SweepEntry *sweep;
  GateLink *link;
} Connection;

static void *on_uri (void *cls, const char *uri, struct MHD_Connection *connection);
static void on_connection (void *cls,
                           struct MHD_Connection *connection,
                           void **socket_context,
                           enum MHD_ConnectionNotificationCode code);
static enum MHD_Result on_request (void *cls,
                                   struct MHD_Connection *connection,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *upload,
                                   size_t *upload_size,
                                   void **con_cls);
static void on_completed (void *cls,
                          struct MHD_Connection *connection,
                          void **con_cls,
                          enum MHD_RequestTerminationCode code);

static Connection *
connection_of (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info != NULL ? info->socket_context : NULL;
}

static SweepEntry *
sweep_entry (struct MHD_Connection *connection)
{
  const Connection *c = connection_of (connection);

  return c != NULL ? c->sweep : NULL;
}

static void
on_connection (void *cls,
               struct MHD_Connection *connection,
               void **socket_context,
               enum MHD_ConnectionNotificationCode code)
{
  GateHttp *http = cls;
  Connection *c = *socket_context;
  const union MHD_ConnectionInfo *info;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      gate_sweep_remove (http->sweep, c->sweep);
      gate_link_unref (c->link);
      gate_callers_connection_ended (http->callers);
      free (c);
      return;
    }
  info = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  c = memory_alloc (sizeof (*c));
  c->sweep = gate_sweep_add (http->sweep, info->connect_fd);
  c->link = gate_callers_take_link (http->callers, info->connect_fd);
  *socket_context = c;
}

/* Called with the request line, before libmicrohttpd decodes the URI: a plain service gets it as
   the caller sent it. */
static void *
on_uri (void *cls, const char *uri, struct MHD_Connection *connection)
{
  GateHttp *http = cls;

  gate_sweep_set_reading (http->sweep, sweep_entry (connection));
  return gate_request_new (http->gate, connection, uri);
}

static bool
body_too_large (const GateRequest *r)
{
  const char *length
      = MHD_lookup_connection_value (r->connection, MHD_HEADER_KIND, "Content-Length");

  return length != NULL
         && strtoull (length, NULL, 10) > (unsigned long long)r->gate->settings.body_max;
}

static enum MHD_Result
on_head (GateHttp *http, GateRequest *r, const char *method)
{
  if (!gate_request_read_head (r, method))
    {
      gate_sweep_set_working (http->sweep, sweep_entry (r->connection));
      return gate_respond_refusal (r);
    }
  if (!body_too_large (r))
    return MHD_YES;
  gate_sweep_set_working (http->sweep, sweep_entry (r->connection));
  refusal_set (&r->refusal, REFUSAL_TOO_LARGE, REQUEST_NOT_RUN, "request.body",
               "expected at most %lld bytes", (long long)r->gate->settings.body_max);
  return gate_respond_refusal (r);
}

/* Adds a block to the body. A body without Content-Length may turn out too long here. */
static enum MHD_Result
on_body (GateHttp *http, GateRequest *r, const char *upload, size_t *upload_size)
{
  size_t max = (size_t)r->gate->settings.body_max;
  size_t size = *upload_size;

  *upload_size = 0;
  if (r->body.len + size <= max)
    {
      buffer_add (&r->body, upload, size);
      return MHD_YES;
    }
  gate_sweep_set_working (http->sweep, sweep_entry (r->connection));
  refusal_set (&r->refusal, REFUSAL_TOO_LARGE, REQUEST_NOT_RUN, "request.body",
               "expected at most %zu bytes", max);
  gate_refused_record (r);
  gate_raw_refuse (r->fd, &r->refusal);
  gate_raw_drain (r->fd);
  return MHD_NO;
}

static enum MHD_Result
on_complete_request (GateHttp *http, GateRequest *r)
{
  enum MHD_Result queued = MHD_NO;

  gate_sweep_set_working (http->sweep, sweep_entry (r->connection));
  if (r->refusal.reason != REASON_NONE || !gate_request_read_body (r))
    return gate_respond_refusal (r);
  gate_respond_pause_timeout (r);
  switch (gate_run (r))
    {
    case RUN_REFUSED:
      queued = gate_respond_refusal (r);
      break;
    case RUN_COMPLETE:
      queued = gate_respond_complete (r);
      break;
    case RUN_STREAM:
      queued = gate_respond_stream (r);
      break;
    case RUN_CALLER_LEFT:
      break;
    }
  gate_respond_resume_timeout (r);
  return queued;
}

static enum MHD_Result
on_request (void *cls,
            struct MHD_Connection *connection,
            const char *url,
            const char *method,
            const char *version,
            const char *upload,
            size_t *upload_size,
            void **con_cls)
{
  GateRequest *r = *con_cls;

  (void)connection;
  (void)url;
  (void)version;
  if (r->method == NULL)
    return on_head (cls, r, method);
  if (*upload_size > 0)
    return on_body (cls, r, upload, upload_size);
  return on_complete_request (cls, r);
}

static void
on_completed (void *cls,
              struct MHD_Connection *connection,
              void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  GateHttp *http = cls;
  const Connection *c = connection_of (connection);

  (void)code;
  if (*con_cls == NULL)
    return;
  gate_request_free (*con_cls);
  *con_cls = NULL;
  if (c == NULL)
    return;
  gate_sweep_set_idle (http->sweep, c->sweep);
  gate_link_add_answer (c->link);
}

static unsigned
idle_timeout_s (const GateHttp *http)
{
  return (unsigned)gate_idle_timeout_s (http->gate);
}

static struct MHD_Daemon *
start_daemon (GateHttp *http)
{
  const SettingsGate *settings = &http->gate->settings;
  unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL
                   | MHD_USE_NO_LISTEN_SOCKET | MHD_USE_ITC;

  return MHD_start_daemon (
      flags, 0, NULL, NULL, on_request, http, MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK_SIZE,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)settings->header_max + CONNECTION_MEMORY, MHD_OPTION_CONNECTION_TIMEOUT,
      idle_timeout_s (http), MHD_OPTION_URI_LOG_CALLBACK, on_uri, http,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, http, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
      http, MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
}

static bool
start (GateHttp *http, Status *st)
{
  const SettingsGate *settings = &http->gate->settings;
  GateFilterLimits limits = {
    .head_max = (size_t)settings->header_max + CONNECTION_MEMORY,
    .stalled_s = idle_timeout_s (http),
  };

  http->callers = gate_callers_new (settings, &limits, &http->gate->memory, st);
  if (http->callers == NULL)
    return false;
  http->sweep = gate_sweep_start (settings);
  http->daemon = start_daemon (http);
  if (http->daemon != NULL)
    return gate_callers_start (http->callers, http->daemon, st);
  status_set (st, STATUS_INTERNAL, STEP, NULL, "libmicrohttpd could not start");
  return false;
}

GateHttp *
gate_http_start (Gate *gate, Status *st)
{
  GateHttp *http = memory_alloc (sizeof (*http));

  http->gate = gate;
  if (start (http, st))
    return http;
  gate_http_stop (http);
  return NULL;
}

/* Callers that were connected when the listening socket was closed still get a refusal with a
   retry-after time; stopping at once would reset their connections. */
static void
drain (GateHttp *http)
{
  int64_t until_ms = clock_boot_ms () + DRAIN_MAX_MS;

  gate_callers_stop_accepting (http->callers);
  while (clock_boot_ms () < until_ms && gate_sweep_active_count (http->sweep) > 0)
    clock_sleep_ms (DRAIN_STEP_MS);
}

void
gate_http_stop (GateHttp *http)
{
  if (http->daemon != NULL)
    {
      drain (http);
      MHD_stop_daemon (http->daemon);
    }
  if (http->callers != NULL)
    gate_callers_free (http->callers);
  if (http->sweep != NULL)
    gate_sweep_stop (http->sweep);
  free (http);
}
