#include "fake_http_server.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

struct FakeHttpServer
{
  struct MHD_Daemon *daemon;
  const char *text;
  int port;        /* 0 until the first start */
  bool drop;       /* atomic */
  int connections; /* atomic */
  int requests;    /* atomic */
  int open;        /* atomic */
};

static enum MHD_Result
answer (void *cls,
        struct MHD_Connection *connection,
        const char *url,
        const char *method,
        const char *version,
        const char *upload_data,
        size_t *upload_data_size,
        void **con_cls)
{
  FakeHttpServer *server = cls;
  struct MHD_Response *response;
  enum MHD_Result result;

  (void)url, (void)version, (void)upload_data;
  /* libmicrohttpd keeps a connection only if the answer comes with its second call. */
  if (*con_cls == NULL)
    {
      *con_cls = server;
      return MHD_YES;
    }
  /* A request counts when it is whole. */
  if (*upload_data_size > 0)
    {
      *upload_data_size = 0;
      return MHD_YES;
    }
  __atomic_add_fetch (&server->requests, 1, __ATOMIC_RELAXED);
  if (__atomic_load_n (&server->drop, __ATOMIC_RELAXED) || strcmp (method, "GET") != 0)
    return MHD_NO;
  response = MHD_create_response_from_buffer (strlen (server->text), (void *)server->text,
                                              MHD_RESPMEM_PERSISTENT);
  result = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static void
on_connection (void *cls,
               struct MHD_Connection *connection,
               void **socket_context,
               enum MHD_ConnectionNotificationCode code)
{
  FakeHttpServer *server = cls;

  (void)connection, (void)socket_context;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      __atomic_add_fetch (&server->connections, 1, __ATOMIC_RELAXED);
      __atomic_add_fetch (&server->open, 1, __ATOMIC_RELAXED);
    }
  else
    __atomic_sub_fetch (&server->open, 1, __ATOMIC_RELAXED);
}

bool
fake_http_server_start (FakeHttpServer *server)
{
  struct sockaddr_in where = { .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)server->port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  const union MHD_DaemonInfo *info;

  server->daemon = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, (uint16_t)server->port, NULL, NULL, answer,
      server, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&where, MHD_OPTION_NOTIFY_CONNECTION,
      on_connection, server, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (server->daemon == NULL)
    return false;
  info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT);
  server->port = info->port;
  return true;
}

void
fake_http_server_stop (FakeHttpServer *server)
{
  if (server->daemon != NULL)
    MHD_stop_daemon (server->daemon);
  server->daemon = NULL;
}

FakeHttpServer *
fake_http_server_new (const char *text)
{
  FakeHttpServer *server = memory_alloc (sizeof (*server));

  server->text = text;
  if (!fake_http_server_start (server))
    abort ();
  return server;
}

void
fake_http_server_free (FakeHttpServer *server)
{
  fake_http_server_stop (server);
  free (server);
}

int
fake_http_server_port (const FakeHttpServer *server)
{
  return server->port;
}

void
fake_http_server_drop (FakeHttpServer *server, bool drop)
{
  __atomic_store_n (&server->drop, drop, __ATOMIC_RELAXED);
}

int
fake_http_server_connections (const FakeHttpServer *server)
{
  return __atomic_load_n (&server->connections, __ATOMIC_RELAXED);
}

int
fake_http_server_requests (const FakeHttpServer *server)
{
  return __atomic_load_n (&server->requests, __ATOMIC_RELAXED);
}

int
fake_http_server_open (const FakeHttpServer *server)
{
  return __atomic_load_n (&server->open, __ATOMIC_RELAXED);
}
