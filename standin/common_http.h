/**
 * HTTP server of the stand-ins, on libmicrohttpd: one thread per connection, so that a handler may
 * block; a table of routes; fault injection (common_fault.h) before and after each handler.
 */
#ifndef COMMON_HTTP_H
#define COMMON_HTTP_H

#include "util_buffer.h"
#include <json-c/json.h>
#include <microhttpd.h>
#include <stdbool.h>

typedef struct
{
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  Buffer body;
  bool lose_reply; /**< fault lose_reply: the connection is closed in place of an answer */
  bool handled;    /**< the route's handler has run */
} StandinRequest;

typedef struct
{
  const char *method; /**< NULL: any */
  const char *path;   /**< one that ends in '/' matches every path that begins with it */
  bool control;       /**< called by the test that drives the stand-in; exempt from faults */
  /** Answers with one of the reply functions and returns that function's result. */
  enum MHD_Result (*handle) (StandinRequest *request);
} StandinRoute;

typedef struct
{
  const StandinRoute *routes;
  size_t route_count;
} StandinRoutes;

/** Listens until standin_http_stop; NULL, with a message on standard error, if it cannot. The
 *  routes must stay valid until then. Every stand-in also serves POST and DELETE of /v1/fault. */
struct MHD_Daemon *standin_http_start (const char *address, int port, const StandinRoutes *routes);
void standin_http_stop (struct MHD_Daemon *daemon);

/** Value of a query parameter or of a header; NULL if absent. */
const char *standin_query (const StandinRequest *request, const char *name);
const char *standin_header (const StandinRequest *request, const char *name);
/** The body as a JSON object, to be freed with json_object_put; NULL if it is none. */
struct json_object *standin_json (const StandinRequest *request);

/** Answers with obj as JSON and releases the caller's reference to it. */
enum MHD_Result standin_reply (StandinRequest *request, unsigned status, struct json_object *obj);
enum MHD_Result standin_reply_bytes (StandinRequest *request,
                                     unsigned status,
                                     const void *data,
                                     size_t len,
                                     const char *content_type);
/** Answers with {"error":{"code":CODE}}. */
enum MHD_Result standin_reply_error (StandinRequest *request, unsigned status, const char *code);
enum MHD_Result standin_reply_empty (StandinRequest *request, unsigned status);
/** Queues a response that the caller created and releases the caller's reference to it. */
enum MHD_Result
standin_reply_response (StandinRequest *request, unsigned status, struct MHD_Response *response);

#endif
