#include "gate_http.h"
#include "gate_framing.h"
#include "gate_raw.h"
#include "gate_refused.h"
#include "gate_request.h"
#include "gate_respond.h"
#include "gate_run.h"
#include "gate_sweep.h"
#include "util_clock.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define STEP              "http.start"
#define STACK_SIZE        (256UL * 1024)
#define CONNECTION_MEMORY (16UL * 1024) /**< beside the headers: answers' heads and chunks */
#define CONNECTIONS_SPARE 64
#define DRAIN_MAX_MS      500
#define DRAIN_STEP_MS     10
#define FILE_MAX          (256UL * 1024)

struct GateHttp
{
  Gate *gate;
  GateSweep *sweep;
  struct MHD_Daemon *daemon;
  char *certificate;
  char *key;
};

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

static SweepEntry *
sweep_entry (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info != NULL ? info->socket_context : NULL;
}

static void
on_connection (void *cls,
               struct MHD_Connection *connection,
               void **socket_context,
               enum MHD_ConnectionNotificationCode code)
{
  GateHttp *http = cls;
  const union MHD_ConnectionInfo *info;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      gate_sweep_remove (http->sweep, *socket_context);
      return;
    }
  info = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  *socket_context = gate_sweep_add (http->sweep, info->connect_fd);
}

/* The request line has come; the URI is not decoded yet, so that a plain service gets it as sent.
 */
static void *
on_uri (void *cls, const char *uri, struct MHD_Connection *connection)
{
  GateHttp *http = cls;

  gate_sweep_reading (http->sweep, sweep_entry (connection));
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

static bool
framing_is_good (GateRequest *r, const char *version)
{
  const char *fault = gate_framing_fault (r->connection, version);

  if (fault)
    refusal_set (&r->refusal, REFUSAL_MALFORMED, REQUEST_NOT_RUN, "request.head", "%s", fault);
  return fault == NULL;
}

static enum MHD_Result
on_head (GateHttp *http, GateRequest *r, const char *method, const char *version)
{
  if (!gate_request_read_head (r, method) || !framing_is_good (r, version))
    {
      gate_sweep_working (http->sweep, sweep_entry (r->connection));
      return gate_respond_refusal (r);
    }
  if (!body_too_large (r))
    return MHD_YES;
  gate_sweep_working (http->sweep, sweep_entry (r->connection));
  refusal_set (&r->refusal, REFUSAL_TOO_LARGE, REQUEST_NOT_RUN, "request.body",
               "expected at most %lld bytes", (long long)r->gate->settings.body_max);
  return gate_respond_refusal (r);
}

/* A body without a stated length that turns out too long. */
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
  gate_sweep_working (http->sweep, sweep_entry (r->connection));
  refusal_set (&r->refusal, REFUSAL_TOO_LARGE, REQUEST_NOT_RUN, "request.body",
               "expected at most %zu bytes", max);
  gate_refused_note (r);
  if (r->gate->settings.tls_certificate_file == NULL)
    {
      gate_raw_refuse (r->fd, &r->refusal);
      gate_raw_drain (r->fd);
    }
  return MHD_NO;
}

static enum MHD_Result
on_whole_request (GateHttp *http, GateRequest *r)
{
  enum MHD_Result queued = MHD_NO;

  gate_sweep_working (http->sweep, sweep_entry (r->connection));
  if (r->refusal.reason != REASON_NONE || !gate_request_read_body (r))
    return gate_respond_refusal (r);
  gate_respond_pause_timeout (r);
  switch (gate_run (r))
    {
    case RUN_REFUSED:
      queued = gate_respond_refusal (r);
      break;
    case RUN_WHOLE:
      queued = gate_respond_whole (r);
      break;
    case RUN_STREAM:
      queued = gate_respond_stream (r);
      break;
    case RUN_GONE:
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
  if (r->method == NULL)
    return on_head (cls, r, method, version);
  if (*upload_size > 0)
    return on_body (cls, r, upload, upload_size);
  return on_whole_request (cls, r);
}

static void
on_completed (void *cls,
              struct MHD_Connection *connection,
              void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  GateHttp *http = cls;

  (void)code;
  if (*con_cls == NULL)
    return;
  gate_request_free (*con_cls);
  *con_cls = NULL;
  gate_sweep_idle (http->sweep, sweep_entry (connection));
}

static bool
read_file (const char *path, char **out, Status *st)
{
  FILE *file = fopen (path, "re");
  char *text;
  size_t len;

  if (file == NULL)
    {
      status_set (st, STATUS_INVALID, STEP, NULL, "%s: %s", path, strerror (errno));
      return false;
    }
  text = memory_alloc (FILE_MAX + 1);
  len = fread (text, 1, FILE_MAX, file);
  fclose (file);
  *out = text;
  if (len > 0)
    return true;
  status_set (st, STATUS_INVALID, STEP, NULL, "%s: empty", path);
  return false;
}

static bool
read_address (const SettingsAddress *address, struct sockaddr_storage *out, Status *st)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)out;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

  memset (out, 0, sizeof (*out));
  if (inet_pton (AF_INET, address->address, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons ((uint16_t)address->port);
      return true;
    }
  if (inet_pton (AF_INET6, address->address, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons ((uint16_t)address->port);
      return true;
    }
  status_set (st, STATUS_INVALID, STEP, address->address, "expected an IP number");
  return false;
}

static struct MHD_Daemon *
start_daemon (GateHttp *http, const struct sockaddr *address)
{
  const SettingsGate *settings = &http->gate->settings;
  unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL;
  struct MHD_OptionItem tls[]
      = { { .option = MHD_OPTION_HTTPS_MEM_CERT, .ptr_value = http->certificate },
          { .option = MHD_OPTION_HTTPS_MEM_KEY, .ptr_value = http->key },
          { .option = MHD_OPTION_END } };

  if (http->certificate != NULL)
    flags |= MHD_USE_TLS;
  else
    tls[0].option = MHD_OPTION_END;
  if (address->sa_family == AF_INET6)
    flags |= MHD_USE_IPv6;
  return MHD_start_daemon (
      flags, (uint16_t)settings->callers.port, NULL, NULL, on_request, http, MHD_OPTION_SOCK_ADDR,
      address, MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK_SIZE, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)(2 * settings->streams_max + CONNECTIONS_SPARE), MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)settings->header_max + CONNECTION_MEMORY, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)gate_idle_timeout_s (http->gate), MHD_OPTION_URI_LOG_CALLBACK, on_uri, http,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, http, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
      http, MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U,
      MHD_OPTION_ARRAY, tls, MHD_OPTION_END);
}

GateHttp *
gate_http_start (Gate *gate, Status *st)
{
  const SettingsGate *settings = &gate->settings;
  GateHttp *http = memory_alloc (sizeof (*http));
  struct sockaddr_storage address;

  http->gate = gate;
  if (!read_address (&settings->callers, &address, st))
    goto failed;
  if (settings->tls_certificate_file != NULL
      && (!read_file (settings->tls_certificate_file, &http->certificate, st)
          || !read_file (settings->tls_key_file, &http->key, st)))
    goto failed;
  http->sweep = gate_sweep_start (settings);
  http->daemon = start_daemon (http, (struct sockaddr *)&address);
  if (http->daemon != NULL)
    return http;
  status_set (st, STATUS_INTERNAL, STEP, settings->callers.address, "can't listen on port %lld",
              (long long)settings->callers.port);
failed:
  gate_http_stop (http);
  return NULL;
}

/* Callers that had connected when the listening socket was closed still get their refusal with its
   time to come back, where an early stop would reset their connections. */
static void
drain (GateHttp *http)
{
  int64_t until_ms = clock_boot_ms () + DRAIN_MAX_MS;
  MHD_socket listening = MHD_quiesce_daemon (http->daemon);

  if (listening != MHD_INVALID_SOCKET)
    close (listening);
  while (clock_boot_ms () < until_ms && gate_sweep_open (http->sweep) > 0)
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
  if (http->sweep != NULL)
    gate_sweep_stop (http->sweep);
  free (http->certificate);
  free (http->key);
  free (http);
}
