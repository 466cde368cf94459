#include "common_http.h"
#include "common_fault.h"
#include "util_clock.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STACK_SIZE      ((size_t)192 * 1024)       /* bytes, of each connection's thread */
#define CONNECTIONS_MAX 8192U                      /* open at once */
#define LISTEN_BACKLOG  4096U                      /* connections not accepted yet */
#define BODY_MAX        ((size_t)64 * 1024 * 1024) /* bytes of a request */

static enum MHD_Result handle_fault (StandinRequest *request);

static const StandinRoute fault_route = { NULL, "/v1/fault", true, handle_fault };

const char *
standin_query (const StandinRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);
}

const char *
standin_header (const StandinRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, name);
}

struct json_object *
standin_json (const StandinRequest *request)
{
  struct json_object *obj = request->body.data ? json_tokener_parse (request->body.data) : NULL;
  if (json_object_is_type (obj, json_type_object))
    return obj;
  json_object_put (obj);
  return NULL;
}

enum MHD_Result
standin_reply_response (StandinRequest *request, unsigned status, struct MHD_Response *response)
{
  enum MHD_Result result = MHD_NO;
  if (!request->lose_reply)
    result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

enum MHD_Result
standin_reply_bytes (StandinRequest *request,
                     unsigned status,
                     const void *data,
                     size_t len,
                     const char *content_type)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (len, (void *)data, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
  return standin_reply_response (request, status, response);
}

enum MHD_Result
standin_reply (StandinRequest *request, unsigned status, struct json_object *obj)
{
  size_t len;
  const char *text = json_object_to_json_string_length (obj, JSON_C_TO_STRING_PLAIN, &len);
  enum MHD_Result result = standin_reply_bytes (request, status, text, len, "application/json");
  json_object_put (obj);
  return result;
}

enum MHD_Result
standin_reply_error (StandinRequest *request, unsigned status, const char *code)
{
  struct json_object *error = json_object_new_object ();
  struct json_object *obj = json_object_new_object ();
  json_object_object_add (error, "code", json_object_new_string (code));
  json_object_object_add (obj, "error", error);
  return standin_reply (request, status, obj);
}

enum MHD_Result
standin_reply_empty (StandinRequest *request, unsigned status)
{
  return standin_reply_response (request, status,
                                 MHD_create_response_from_buffer (0, "", MHD_RESPMEM_PERSISTENT));
}

static enum MHD_Result
handle_fault (StandinRequest *request)
{
  if (strcmp (request->method, "DELETE") == 0)
    {
      fault_clear ();
      return standin_reply_empty (request, MHD_HTTP_NO_CONTENT);
    }
  if (!fault_set (request->body.data))
    return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "no_such_fault");
  return standin_reply_empty (request, MHD_HTTP_NO_CONTENT);
}

static bool
route_matches (const StandinRoute *route, const StandinRequest *request)
{
  size_t len = strlen (route->path);
  if (route->method && strcmp (route->method, request->method) != 0)
    return false;
  if (route->path[len - 1] == '/')
    return strncmp (route->path, request->path, len) == 0;
  return strcmp (route->path, request->path) == 0;
}

static const StandinRoute *
route_find (const StandinRoutes *routes, const StandinRequest *request)
{
  if (route_matches (&fault_route, request))
    return &fault_route;
  for (size_t i = 0; i < routes->route_count; i++)
    if (route_matches (&routes->routes[i], request))
      return &routes->routes[i];
  return NULL;
}

static enum MHD_Result
dispatch_request (const StandinRoutes *routes, StandinRequest *request)
{
  const StandinRoute *route = route_find (routes, request);
  Fault fault;
  if (!route)
    return standin_reply_error (request, MHD_HTTP_NOT_FOUND, "no_such_call");
  if (route->control)
    return route->handle (request);
  if (fault_consume (FAULT_DOWN, request->path, NULL))
    return standin_reply_error (request, MHD_HTTP_SERVICE_UNAVAILABLE, "not_run");
  if (fault_consume (FAULT_LOSE_CALL, request->path, NULL))
    return MHD_NO;
  if (fault_consume (FAULT_SLOW, request->path, &fault))
    clock_sleep_ms ((int64_t)fault.number);
  request->lose_reply = fault_consume (FAULT_LOSE_REPLY, request->path, NULL);
  return route->handle (request);
}

static enum MHD_Result
access_handler (void *cls,
                struct MHD_Connection *connection,
                const char *url,
                const char *method,
                const char *version,
                const char *upload_data,
                size_t *upload_data_size,
                void **con_cls)
{
  (void)version;
  StandinRequest *request = *con_cls;
  if (!request)
    {
      request = memory_alloc (sizeof *request);
      request->connection = connection;
      *con_cls = request;
      return MHD_YES;
    }
  if (*upload_data_size)
    {
      if (request->body.len + *upload_data_size > BODY_MAX)
        return MHD_NO;
      buffer_add (&request->body, upload_data, *upload_data_size);
      *upload_data_size = 0;
      return MHD_YES;
    }
  if (request->handled)
    return MHD_YES;
  request->handled = true;
  request->method = method;
  request->path = url;
  return dispatch_request (cls, request);
}

static void
request_completed (void *cls,
                   struct MHD_Connection *connection,
                   void **con_cls,
                   enum MHD_RequestTerminationCode toe)
{
  (void)cls;
  (void)connection;
  (void)toe;
  StandinRequest *request = *con_cls;
  if (!request)
    return;
  buffer_free (&request->body);
  free (request);
  *con_cls = NULL;
}

struct MHD_Daemon *
standin_http_start (const char *address, int port, const StandinRoutes *routes)
{
  struct sockaddr_in address_in = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  if (inet_pton (AF_INET, address, &address_in.sin_addr) != 1)
    {
      fprintf (stderr, "not an IP number (IPv4): %s\n", address);
      return NULL;
    }
  struct MHD_Daemon *daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
      (uint16_t)port, NULL, NULL, access_handler, (void *)routes, MHD_OPTION_SOCK_ADDR,
      (struct sockaddr *)&address_in, MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
      MHD_OPTION_THREAD_STACK_SIZE, STACK_SIZE, MHD_OPTION_NOTIFY_COMPLETED, request_completed,
      NULL, MHD_OPTION_LISTEN_BACKLOG_SIZE, LISTEN_BACKLOG, MHD_OPTION_END);
  if (!daemon)
    fprintf (stderr, "cannot listen on %s port %d\n", address, port);
  return daemon;
}

void
standin_http_stop (struct MHD_Daemon *daemon)
{
  MHD_stop_daemon (daemon);
}
