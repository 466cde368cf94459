#include "front_control.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_peers.h"
#include "front_socket.h"
#include "front_store.h"
#include "util_clock.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

struct FrontControl
{
  Front *front;
  struct evhttp *ready;
  struct evhttp *control;
};

static void
reply (struct evhttp_request *http, int status, const Buffer *text)
{
  struct evbuffer *out = evbuffer_new ();

  if (text && text->len > 0)
    evbuffer_add (out, text->data, text->len);
  evhttp_send_reply (http, status, NULL, out);
  evbuffer_free (out);
}

static void
on_ready (struct evhttp_request *http, void *user)
{
  FrontControl *control = user;

  reply (http, front_is_ready (control->front) ? HTTP_OK : HTTP_SERVUNAVAIL, NULL);
}

static void
on_metrics (struct evhttp_request *http, void *user)
{
  FrontControl *control = user;
  Front *front = control->front;
  Buffer text = { 0 };

  front_counter_metrics (&text);
  front_log_metrics (&text);
  buffer_printf (&text,
                 "lovage_front_ready %d\nlovage_front_connections %u\n"
                 "lovage_front_requests_open %u\nlovage_front_servers %u\n"
                 "lovage_front_peers_alive %u\nlovage_front_config_version %lld\n",
                 front_is_ready (front), front->conn_count, front->request_count,
                 front_servers_count (front->servers),
                 front_peers_alive (front->peers, clock_boot_ms ()),
                 front->config ? (long long)front->config->version : 0);
  for (unsigned i = 0; i < STORE_TABLES; i++)
    buffer_printf (&text, "lovage_front_store_lost{table=\"%u\"} %d\n", i,
                   front_store_is_lost (front->store, (StoreTable)i));
  reply (http, HTTP_OK, &text);
  buffer_free (&text);
}

static void
on_news (struct evhttp_request *http, void *user)
{
  static const char prefix[] = "/news/";
  FrontControl *control = user;
  const char *path = evhttp_request_get_uri (http);
  Buffer text = { 0 };
  int64_t table;

  if (strncmp (path, prefix, strlen (prefix)) != 0
      || !span_number (span_of (path + strlen (prefix)), &table) || table >= STORE_TABLES)
    {
      reply (http, HTTP_NOTFOUND, NULL);
      return;
    }
  front_store_give (control->front->store, (StoreTable)table, &text);
  reply (http, HTTP_OK, &text);
  buffer_free (&text);
}

/* "IP:PORT" of the settings to a server of its own. */
static struct evhttp *
serve (Front *front, const char *text)
{
  struct sockaddr_in address;
  char host[INET_ADDRSTRLEN];
  struct evhttp *http;

  if (!front_socket_address (text, &address))
    return NULL;
  inet_ntop (AF_INET, &address.sin_addr, host, sizeof host);
  http = evhttp_new (front->base);
  if (http && evhttp_bind_socket (http, host, ntohs (address.sin_port)) == 0)
    return http;
  if (http)
    evhttp_free (http);
  return NULL;
}

FrontControl *
front_control_new (Front *front)
{
  FrontControl *control = memory_alloc (sizeof *control);

  control->front = front;
  control->ready = serve (front, front->settings.ready);
  control->control = serve (front, front->settings.control);
  if (!control->ready || !control->control)
    {
      front_control_free (control);
      return NULL;
    }
  evhttp_set_gencb (control->ready, on_ready, control);
  evhttp_set_cb (control->control, "/metrics", on_metrics, control);
  evhttp_set_gencb (control->control, on_news, control);
  return control;
}

void
front_control_free (FrontControl *control)
{
  if (control->ready)
    evhttp_free (control->ready);
  if (control->control)
    evhttp_free (control->control);
  free (control);
}
