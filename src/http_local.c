#include "http_local.h"
#include "util_counter.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#define CONNECTIONS_MAX       32
#define IDLE_TIMEOUT_S        10
#define CONNECTION_MEMORY_MAX 8192 /* bytes */

struct HttpLocal
{
  struct MHD_Daemon *daemon;
  HttpLocalOps ops;
};

typedef struct
{
  const char *path;
  /** Writes the page to out and returns its HTTP status. */
  unsigned (*page) (HttpLocal *local, Buffer *out);
} LocalPage;

static unsigned page_health (HttpLocal *local, Buffer *out);
static unsigned page_ready (HttpLocal *local, Buffer *out);
static unsigned page_metrics (HttpLocal *local, Buffer *out);

static const LocalPage pages[]
    = { { "/healthz", page_health }, { "/readyz", page_ready }, { "/metrics", page_metrics } };

static unsigned
page_health (HttpLocal *local, Buffer *out)
{
  (void)local;
  buffer_add_string (out, "ok\n");
  return MHD_HTTP_OK;
}

static unsigned
page_ready (HttpLocal *local, Buffer *out)
{
  Buffer reason = { 0 };
  bool ready = !local->ops.ready || local->ops.ready (local->ops.context, &reason);
  if (ready)
    buffer_add_string (out, "ready\n");
  else
    buffer_printf (out, "not ready: %s\n", reason.data ? reason.data : "no reason given");
  buffer_free (&reason);
  return ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE;
}

static unsigned
page_metrics (HttpLocal *local, Buffer *out)
{
  counter_text (out);
  if (local->ops.gauges)
    local->ops.gauges (local->ops.context, out);
  return MHD_HTTP_OK;
}

static unsigned
make_page (HttpLocal *local, const char *url, const char *method, Buffer *out)
{
  if (strcmp (method, "GET") != 0)
    {
      buffer_add_string (out, "only GET is answered here\n");
      return MHD_HTTP_METHOD_NOT_ALLOWED;
    }
  for (size_t i = 0; i < sizeof pages / sizeof pages[0]; i++)
    if (strcmp (url, pages[i].path) == 0)
      return pages[i].page (local, out);
  buffer_add_string (out, "no such page: /healthz, /readyz, /metrics\n");
  return MHD_HTTP_NOT_FOUND;
}

static enum MHD_Result
handle_request (void *cls,
                struct MHD_Connection *connection,
                const char *url,
                const char *method,
                const char *version,
                const char *upload_data,
                size_t *upload_data_size,
                void **con_cls)
{
  (void)version;
  (void)upload_data;
  if (!*con_cls)
    {
      *con_cls = cls;
      return MHD_YES;
    }
  if (*upload_data_size)
    {
      *upload_data_size = 0;
      return MHD_YES;
    }
  Buffer out = { 0 };
  unsigned status = make_page (cls, url, method, &out);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (out.len, out.data, MHD_RESPMEM_MUST_COPY);
  buffer_free (&out);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, "text/plain; charset=utf-8");
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

HttpLocal *
http_local_start (const char *address, int port, const HttpLocalOps *ops, Status *st)
{
  struct sockaddr_in listen_address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  if (inet_pton (AF_INET, address, &listen_address.sin_addr) != 1)
    {
      status_set (st, STATUS_INVALID, "http.local", address, "not an IP number");
      return NULL;
    }
  HttpLocal *local = memory_alloc (sizeof *local);
  local->ops = *ops;
  local->daemon = MHD_start_daemon (
      MHD_USE_AUTO_INTERNAL_THREAD, (uint16_t)port, NULL, NULL, handle_request, local,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&listen_address, MHD_OPTION_CONNECTION_LIMIT,
      CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_MAX, MHD_OPTION_END);
  if (!local->daemon)
    {
      status_set (st, STATUS_UNAVAILABLE, "http.local", address, "can't listen on port %d", port);
      free (local);
      return NULL;
    }
  status_ok (st);
  return local;
}

void
http_local_stop (HttpLocal *local)
{
  if (!local)
    return;
  MHD_stop_daemon (local->daemon);
  free (local);
}
