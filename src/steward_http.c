#include "steward_http.h"
#include "config.h"
#include "steward_call.h"
#include "util_field.h"
#include "util_log.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <sodium.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECTIONS_MAX         32
#define IDLE_TIMEOUT_S          30
#define CONNECTION_MEMORY_BYTES ((size_t)16 * 1024)
#define BODY_BYTES_MAX          (2 * (size_t)CONFIG_TEXT_MAX)
#define FILE_BYTES_MAX          ((size_t)256 * 1024)
#define KEY_MAX                 256 /* bytes of an operator's key */
#define BEARER                  "Bearer "

struct StewardHttp
{
  Steward *s;
  struct MHD_Daemon *daemon;
  char *certificate; /**< PEM text; NULL: plain HTTP */
  char *key;
};

/** The part of a call's body that has arrived. */
typedef struct
{
  Buffer body;
  bool too_long;
} Upload;

#define ROLE(role) offsetof (SettingsOperator, role)

static const StewardRoute routes[] = {
  { "GET", "/v1/versions", ROLE (read), steward_api_versions },
  { "GET", "/v1/versions/", ROLE (read), steward_api_version },
  { "POST", "/v1/versions", ROLE (patch), steward_api_create },
  { "POST", "/v1/patches", ROLE (patch), steward_api_patch },
  { "GET", "/v1/status", ROLE (read), steward_api_status },
  { "GET", "/v1/audit", ROLE (read), steward_api_audit },
  { "GET", "/v1/usage", ROLE (read), steward_api_usage },
  { "GET", "/v1/rollouts", ROLE (read), steward_api_rollouts },
  { "POST", "/v1/brakes", ROLE (brake), steward_api_brake },
};

/* All keys are compared, each in constant time, so that the duration reveals nothing about a key's
   hash. */
static const SettingsOperator *
find_operator (const Steward *s, const char *key)
{
  const SettingsOperator *found = NULL;
  char hash[CONFIG_KEY_HASH_LEN + 1], stored[CONFIG_KEY_HASH_LEN];

  config_key_hash (key, hash);
  for (size_t i = 0; i < s->settings.operator_count; i++)
    {
      const SettingsOperator *op = &s->settings.operator_list[i];
      for (size_t j = 0; j < sizeof stored; j++)
        stored[j] = (char)(op->key_hash[j] >= 'A' && op->key_hash[j] <= 'F' ? op->key_hash[j] + 32
                                                                            : op->key_hash[j]);
      if (sodium_memcmp (hash, stored, sizeof stored) == 0)
        found = op;
    }
  sodium_memzero (hash, sizeof hash);
  return found;
}

static bool
authorise (StewardCall *call, const StewardRoute *route)
{
  const char *value = MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND,
                                                   MHD_HTTP_HEADER_AUTHORIZATION);
  const char *why = NULL;

  if (value != NULL && strncmp (value, BEARER, strlen (BEARER)) == 0
      && strlen (value) < KEY_MAX + strlen (BEARER))
    call->operator= find_operator (call->s, value + strlen (BEARER));
  if (call->operator== NULL)
    {
      why = "unauthorized";
      (void)steward_call_error (call, MHD_HTTP_UNAUTHORIZED, why,
                                "expected Authorization: Bearer with an operator's key");
    }
  else if (!*(const bool *)(const void *)((const char *)call->operator+ route->role))
    {
      why = "forbidden";
      (void)steward_call_error (call, MHD_HTTP_FORBIDDEN, why,
                                "this operator's roles don't include this call");
    }
  if (why != NULL)
    log_msg (MSG_STEWARD_OPERATOR_DENIED, "operator=\"%s\" call=\"%s %s\" reason=\"%s\"",
             call->operator== NULL ? "" : call->operator->name, route->method, route->path, why);
  return why == NULL;
}

static bool
parse_body (StewardCall *call, const Upload *upload)
{
  CheckList list = { .file = "body" };

  if (upload->body.data != NULL)
    call->body = field_parse_string (upload->body.data, upload->body.len, &list);
  if (!json_object_is_type (call->body, json_type_object))
    (void)steward_call_error (call, MHD_HTTP_BAD_REQUEST, "invalid",
                              "expected a JSON object as the body: %s",
                              list.text.data == NULL ? "another type was sent" : list.text.data);
  check_free (&list);
  return json_object_is_type (call->body, json_type_object);
}

static bool
path_matches (StewardCall *call, const StewardRoute *route, const char *url)
{
  size_t len = strlen (route->path);
  bool is_prefix = route->path[len - 1] == '/';

  call->rest = "";
  if (!is_prefix)
    return strcmp (url, route->path) == 0;
  if (strncmp (url, route->path, len) != 0 || url[len] == '\0')
    return false;
  call->rest = url + len;
  return true;
}

static const StewardRoute *
find_route (StewardCall *call, const char *method, const char *url)
{
  bool path_known = false;

  for (size_t i = 0; i < sizeof routes / sizeof *routes; i++)
    {
      if (!path_matches (call, &routes[i], url))
        continue;
      path_known = true;
      if (strcmp (routes[i].method, method) == 0)
        return &routes[i];
    }
  (void)steward_call_error (call, path_known ? MHD_HTTP_METHOD_NOT_ALLOWED : MHD_HTTP_NOT_FOUND,
                            "not_found", "there is no such call");
  return NULL;
}

static void
run_call (StewardCall *call, const char *method, const char *url, const Upload *upload)
{
  const StewardRoute *route = find_route (call, method, url);

  if (route == NULL || !authorise (call, route))
    return;
  if (upload->too_long)
    {
      (void)steward_call_error (call, MHD_HTTP_CONTENT_TOO_LARGE, "too_long",
                                "expected a body of at most %zu bytes", BODY_BYTES_MAX);
      return;
    }
  if (strcmp (method, "POST") == 0 && !parse_body (call, upload))
    return;
  route->run (call);
}

static enum MHD_Result
send_answer (StewardCall *call)
{
  const char *text = json_object_to_json_string_ext (
      call->answer, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;
  char seconds[16];

  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
  if (call->retry_after_s > 0)
    {
      snprintf (seconds, sizeof seconds, "%d", call->retry_after_s);
      MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
    }
  result = MHD_queue_response (call->connection, call->status, response);
  MHD_destroy_response (response);
  return result;
}

static void
add_upload (Upload *upload, const char *data, size_t len)
{
  upload->too_long |= upload->body.len + len > BODY_BYTES_MAX;
  if (!upload->too_long)
    buffer_add (&upload->body, data, len);
}

static enum MHD_Result
handle (void *cls,
        struct MHD_Connection *connection,
        const char *url,
        const char *method,
        const char *version,
        const char *upload_data,
        size_t *upload_data_size,
        void **con_cls)
{
  StewardHttp *http = cls;
  StewardCall call = { .s = http->s, .connection = connection };
  enum MHD_Result result;

  (void)version;
  if (*con_cls == NULL)
    {
      *con_cls = memory_alloc (sizeof (Upload));
      return MHD_YES;
    }
  if (*upload_data_size > 0)
    {
      add_upload (*con_cls, upload_data, *upload_data_size);
      *upload_data_size = 0;
      return MHD_YES;
    }
  run_call (&call, method, url, *con_cls);
  result = send_answer (&call);
  json_object_put (call.answer);
  json_object_put (call.body);
  return result;
}

static void
request_completed (void *cls,
                   struct MHD_Connection *connection,
                   void **con_cls,
                   enum MHD_RequestTerminationCode code)
{
  Upload *upload = *con_cls;

  (void)cls;
  (void)connection;
  (void)code;
  if (upload == NULL)
    return;
  buffer_free (&upload->body);
  free (upload);
  *con_cls = NULL;
}

static bool
read_file (const char *path, char **out, Status *st)
{
  Buffer text = { 0 };
  char block[4096];
  FILE *f = fopen (path, "re");
  size_t got;

  while (f != NULL && text.len <= FILE_BYTES_MAX && (got = fread (block, 1, sizeof block, f)) > 0)
    buffer_add (&text, block, got);
  if (f != NULL)
    (void)fclose (f);
  *out = text.data;
  if (text.data != NULL && text.len <= FILE_BYTES_MAX)
    return true;
  status_set (st, STATUS_INVALID, "http.tls", NULL, "%s can't be read", path);
  return false;
}

static struct MHD_Daemon *
start_daemon (StewardHttp *http, const struct sockaddr_in *address)
{
  struct MHD_OptionItem tls[] = { { MHD_OPTION_HTTPS_MEM_CERT, 0, http->certificate },
                                  { MHD_OPTION_HTTPS_MEM_KEY, 0, http->key },
                                  { MHD_OPTION_END, 0, NULL } };
  unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL;

  if (http->certificate == NULL)
    tls[0].option = MHD_OPTION_END;
  else
    flags |= MHD_USE_TLS;
  return MHD_start_daemon (
      flags, ntohs (address->sin_port), NULL, NULL, handle, http, MHD_OPTION_SOCK_ADDR,
      (const struct sockaddr *)address, MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      CONNECTION_MEMORY_BYTES, MHD_OPTION_NOTIFY_COMPLETED, request_completed, NULL,
      MHD_OPTION_ARRAY, tls, MHD_OPTION_END);
}

StewardHttp *
steward_http_start (Steward *s, Status *st)
{
  const SettingsSteward *settings = &s->settings;
  StewardHttp *http = memory_alloc (sizeof *http);
  struct sockaddr_in address;

  http->s = s;
  if (settings->tls_certificate_file != NULL
      && (!read_file (settings->tls_certificate_file, &http->certificate, st)
          || !read_file (settings->tls_key_file, &http->key, st)))
    {
      steward_http_stop (http);
      return NULL;
    }
  if (rpc_address (settings->operators.address, (int)settings->operators.port, &address))
    http->daemon = start_daemon (http, &address);
  if (http->daemon != NULL)
    return http;
  status_set (st, STATUS_UNAVAILABLE, "http.operators", settings->operators.address,
              "can't listen on port %d", (int)settings->operators.port);
  steward_http_stop (http);
  return NULL;
}

void
steward_http_stop (StewardHttp *http)
{
  if (http == NULL)
    return;
  if (http->daemon != NULL)
    MHD_stop_daemon (http->daemon);
  free (http->certificate);
  free (http->key);
  free (http);
}
