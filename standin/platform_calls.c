#include "platform_calls.h"
#include "platform_table.h"
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define OBJECT_PATH "/v1/object/"

static pthread_mutex_t vms_lock = PTHREAD_MUTEX_INITIALIZER;
static Buffer vms_json; /* body of the last PUT of /v1/vms */

static enum MHD_Result
reply_txn (StandinRequest *request, struct json_object *results, int failed)
{
  struct json_object *reply = json_object_new_object ();
  json_object_object_add (reply, "committed", json_object_new_boolean (failed == -1));
  if (failed >= 0)
    {
      json_object_object_add (reply, "failed", json_object_new_int (failed));
      return standin_reply (request, MHD_HTTP_CONFLICT, reply);
    }
  json_object_object_add (reply, "results", results);
  return standin_reply (request, MHD_HTTP_OK, reply);
}

static enum MHD_Result
handle_txn (StandinRequest *request)
{
  struct json_object *body = standin_json (request);
  struct json_object *ops;
  struct json_object *results = NULL;
  int failed = -2;
  if (body && json_object_object_get_ex (body, "ops", &ops)
      && json_object_is_type (ops, json_type_array))
    results = table_txn (ops, &failed);
  json_object_put (body);
  if (failed == -2)
    return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "bad_transaction");
  return reply_txn (request, results, failed);
}

static enum MHD_Result
handle_row (StandinRequest *request)
{
  const char *table = standin_query (request, "table");
  const char *key = standin_query (request, "key");
  if (!table || !key)
    return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "bad_query");
  struct json_object *row = table_row (table, key);
  if (!row)
    return standin_reply_error (request, MHD_HTTP_NOT_FOUND, "no_row");
  return standin_reply (request, MHD_HTTP_OK, row);
}

static enum MHD_Result
handle_scan (StandinRequest *request)
{
  const char *table = standin_query (request, "table");
  const char *from = standin_query (request, "from");
  const char *prefix = standin_query (request, "prefix");
  const char *limit = standin_query (request, "limit");
  if (!table)
    return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "bad_query");
  struct json_object *reply = json_object_new_object ();
  json_object_object_add (reply, "rows",
                          table_scan (table, from ? from : "", prefix ? prefix : "",
                                      limit ? (int)strtol (limit, NULL, 10) : 0));
  return standin_reply (request, MHD_HTTP_OK, reply);
}

static enum MHD_Result
handle_object (StandinRequest *request)
{
  const char *name = request->path + strlen (OBJECT_PATH);
  if (strcmp (request->method, "PUT") == 0)
    {
      table_object_put (name, request->body.data, request->body.len);
      return standin_reply_empty (request, MHD_HTTP_NO_CONTENT);
    }
  Buffer data = { 0 };
  if (!table_object_get (name, &data))
    return standin_reply_error (request, MHD_HTTP_NOT_FOUND, "no_object");
  enum MHD_Result result
      = standin_reply_bytes (request, MHD_HTTP_OK, data.data, data.len, "application/octet-stream");
  buffer_free (&data);
  return result;
}

static enum MHD_Result
handle_vms_put (StandinRequest *request)
{
  struct json_object *body = standin_json (request);
  struct json_object *vms;
  bool good = body && json_object_object_get_ex (body, "vms", &vms)
              && json_object_is_type (vms, json_type_array);
  json_object_put (body);
  if (!good)
    return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "bad_vms");
  pthread_mutex_lock (&vms_lock);
  buffer_clear (&vms_json);
  buffer_add (&vms_json, request->body.data, request->body.len);
  pthread_mutex_unlock (&vms_lock);
  return standin_reply_empty (request, MHD_HTTP_NO_CONTENT);
}

static enum MHD_Result
handle_vms (StandinRequest *request)
{
  static const char none[] = "{\"vms\":[]}";
  pthread_mutex_lock (&vms_lock);
  const char *text = vms_json.len ? vms_json.data : none;
  enum MHD_Result result
      = standin_reply_bytes (request, MHD_HTTP_OK, text, strlen (text), "application/json");
  pthread_mutex_unlock (&vms_lock);
  return result;
}

static enum MHD_Result
handle_stats (StandinRequest *request)
{
  TableStats stats;
  table_stats (&stats);
  struct json_object *reply = json_object_new_object ();
  json_object_object_add (reply, "txns", json_object_new_int64 (stats.txns));
  json_object_object_add (reply, "ops", json_object_new_int64 (stats.ops));
  json_object_object_add (reply, "reads", json_object_new_int64 (stats.reads));
  json_object_object_add (reply, "objects_put", json_object_new_int64 (stats.objects_put));
  json_object_object_add (reply, "rows", table_counts ());
  return standin_reply (request, MHD_HTTP_OK, reply);
}

static const StandinRoute routes[]
    = { { "POST", "/v1/txn", false, handle_txn },     { "GET", "/v1/row", false, handle_row },
        { "GET", "/v1/scan", false, handle_scan },    { "PUT", OBJECT_PATH, false, handle_object },
        { "GET", OBJECT_PATH, false, handle_object }, { "GET", "/v1/vms", false, handle_vms },
        { "PUT", "/v1/vms", true, handle_vms_put },   { "POST", "/v1/rate", false, platform_rate },
        { "GET", "/v1/stats", true, handle_stats } };

const StandinRoutes platform_routes = { routes, sizeof routes / sizeof routes[0] };
