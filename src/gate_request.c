#include "gate_request.h"
#include "gate_run.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP            "request.head"
#define CHAT_PATH       "/v1/chat/completions"
#define SERVICES_PREFIX "/v1/services/"
#define BEARER          "Bearer "
/* Answers up to this length are part of what a connection takes; longer ones are counted in steps.
 */
#define ANSWER_SHORT_BYTES ((size_t)16 << 10)
#define ANSWER_STEP_BYTES  ((size_t)64 << 10)
#define DEADLINE_MAX_MS    (24LL * 3600 * 1000)

static const char *header (const GateRequest *r, const char *name);
static bool refuse_malformed (GateRequest *r, const char *what);
static bool copy_header (GateRequest *r, const char *name, char *out, size_t size);

GateRequest *
gate_request_new (Gate *gate, struct MHD_Connection *connection, const char *uri)
{
  GateRequest *r = memory_alloc (sizeof (*r));
  const union MHD_ConnectionInfo *info;

  r->gate = gate;
  r->connection = connection;
  r->fd = -1;
  info = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info != NULL)
    r->fd = info->connect_fd;
  id_random (r->id);
  r->begun_ms = clock_boot_ms ();
  r->path = memory_strdup (uri);
  r->service = -1;
  r->previous_version = -1;
  counter_add (COUNTER_GATE_REQUESTS, 1);
  return r;
}

const ConfigTeam *
gate_request_team (const GateRequest *r)
{
  return &r->snapshot->config->teams[r->team];
}

bool
gate_request_caller_left (const GateRequest *r)
{
  return gate_watch_socket_closed (r->fd);
}

bool
gate_request_past_deadline (const GateRequest *r)
{
  return !r->claimed && r->deadline_ms > 0 && clock_boot_ms () >= r->deadline_ms;
}

bool
gate_request_quarantined (const GateRequest *r)
{
  Quarantine *quarantine = r->gate->servers.quarantine;

  return quarantine != NULL && quarantine_contains (quarantine, r->fingerprint, clock_boot_ms ());
}

void
gate_request_raise_retry_after (GateRequest *r)
{
  int64_t *retry_after_ms = &r->refusal.retry_after_ms;

  if (r->server_died && *retry_after_ms > 0 && *retry_after_ms < REQUEST_DEATH_PROPAGATION_MS)
    *retry_after_ms = REQUEST_DEATH_PROPAGATION_MS;
}

static const char *
header (const GateRequest *r, const char *name)
{
  return MHD_lookup_connection_value (r->connection, MHD_HEADER_KIND, name);
}

static bool
refuse_malformed (GateRequest *r, const char *what)
{
  refusal_set (&r->refusal, REFUSAL_MALFORMED, REQUEST_NOT_RUN, STEP, "%s", what);
  return false;
}

static bool
copy_header (GateRequest *r, const char *name, char *out, size_t size)
{
  const char *value = header (r, name);
  size_t len;

  out[0] = '\0';
  if (value == NULL)
    return true;
  len = strlen (value);
  if (len == 0 || len >= size)
    {
      refusal_set (&r->refusal, REFUSAL_MALFORMED, REQUEST_NOT_RUN, STEP,
                   "%s: expected 1 to %zu bytes, found %zu", name, size - 1, len);
      return false;
    }
  for (size_t i = 0; i < len; i++)
    {
      if ((unsigned char)value[i] <= ' ' || value[i] == 0x7f)
        {
          refusal_set (&r->refusal, REFUSAL_MALFORMED, REQUEST_NOT_RUN, STEP,
                       "%s: expected printable characters without spaces", name);
          return false;
        }
    }
  memcpy (out, value, len + 1);
  return true;
}

static bool
read_route_service (GateRequest *r)
{
  const char *name = r->path + strlen (SERVICES_PREFIX);
  size_t len = strcspn (name, "/?");
  const char *rest = name[len] == '/' ? name + len : NULL;
  char *path;
  char text[BILL_NAME_MAX];

  if (len == 0 || len >= sizeof (text))
    {
      refusal_set (&r->refusal, REFUSAL_NO_ROUTE, REQUEST_NOT_RUN, STEP, NULL);
      return false;
    }
  memcpy (text, name, len);
  text[len] = '\0';
  snprintf (r->asked, sizeof (r->asked), "%s", text);
  path = memory_strdup (rest != NULL ? rest : "/");
  free (r->path);
  r->path = path;
  r->kind = REQUEST_SERVICE;
  return true;
}

static bool
read_route (GateRequest *r)
{
  if (strncmp (r->path, SERVICES_PREFIX, strlen (SERVICES_PREFIX)) == 0)
    return read_route_service (r);
  if (strcmp (r->path, CHAT_PATH) != 0)
    {
      refusal_set (&r->refusal, REFUSAL_NO_ROUTE, REQUEST_NOT_RUN, STEP, NULL);
      return false;
    }
  r->kind = REQUEST_CHAT;
  if (strcmp (r->method, "POST") == 0)
    return true;
  refusal_set (&r->refusal, REFUSAL_METHOD, REQUEST_NOT_RUN, STEP, NULL);
  return false;
}

static bool
authenticate (GateRequest *r)
{
  const char *value = header (r, "Authorization");
  int team = -1;

  if (value != NULL && strncmp (value, BEARER, strlen (BEARER)) == 0)
    team = config_find_team_by_key (r->snapshot->config, value + strlen (BEARER));
  if (team < 0)
    {
      refusal_set (&r->refusal, REFUSAL_UNAUTHENTICATED, REQUEST_NOT_RUN, "request.authenticate",
                   NULL);
      return false;
    }
  r->team = (unsigned)team;
  return true;
}

static bool
read_deadline (GateRequest *r)
{
  const char *value = header (r, "X-Lovage-Deadline-Ms");
  char *end;
  long long ms;

  if (value == NULL)
    return true;
  errno = 0;
  ms = strtoll (value, &end, 10);
  if (errno != 0 || end == value || *end != '\0' || ms < 1 || ms > DEADLINE_MAX_MS)
    return refuse_malformed (r, "X-Lovage-Deadline-Ms: expected 1 to 86400000");
  r->deadline_ms = r->begun_ms + ms;
  return true;
}

static bool
read_idempotent (GateRequest *r)
{
  const char *value = header (r, "X-Lovage-Idempotent");

  if (value == NULL)
    return true;
  if (strcmp (value, "yes") == 0)
    r->idempotency = IDEMPOTENCY_YES;
  else if (strcmp (value, "no") == 0)
    r->idempotency = IDEMPOTENCY_NO;
  else
    return refuse_malformed (r, "X-Lovage-Idempotent: expected yes or no");
  return true;
}

/* Identifies the caller for the buckets of a roll-out: by its X-Lovage-Caller header, or else by
   its IP address. */
static bool
read_caller (GateRequest *r)
{
  const union MHD_ConnectionInfo *info;

  if (!copy_header (r, "X-Lovage-Caller", r->caller, sizeof (r->caller)))
    return false;
  if (r->caller[0] != '\0')
    return true;
  info = MHD_get_connection_info (r->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (info == NULL || info->client_addr == NULL)
    return true;
  if (info->client_addr->sa_family == AF_INET)
    inet_ntop (AF_INET, &((const struct sockaddr_in *)(const void *)info->client_addr)->sin_addr,
               r->caller, sizeof (r->caller));
  if (info->client_addr->sa_family == AF_INET6)
    inet_ntop (AF_INET6, &((const struct sockaddr_in6 *)(const void *)info->client_addr)->sin6_addr,
               r->caller, sizeof (r->caller));
  return true;
}

bool
gate_request_read_head (GateRequest *r, const char *method)
{
  int reason = gate_admission (r->gate);

  r->method = memory_strdup (method);
  r->snapshot = gate_snapshot_get (&r->gate->snapshots);
  if (reason != REASON_NONE || r->snapshot == NULL)
    {
      refusal_set (&r->refusal, reason != REASON_NONE ? reason : REASON_NO_GRANT, REQUEST_NOT_RUN,
                   "request.admit", NULL);
      return false;
    }
  if (!authenticate (r) || !read_route (r) || !read_deadline (r) || !read_idempotent (r))
    return false;
  if (!copy_header (r, "Idempotency-Key", r->key, sizeof (r->key)))
    return false;
  if (!copy_header (r, "X-Lovage-Session", r->session, sizeof (r->session)))
    return false;
  r->content_type = header (r, "Content-Type");
  return read_caller (r);
}

bool
gate_request_hold_answer (GateRequest *r, size_t len, Status *st)
{
  size_t wanted = (len + ANSWER_STEP_BYTES - 1) / ANSWER_STEP_BYTES * ANSWER_STEP_BYTES;

  if (len <= ANSWER_SHORT_BYTES || wanted <= r->held_answer)
    return true;
  if (!gate_memory_take_answer (&r->gate->memory, wanted - r->held_answer,
                                r->gate->settings.token_timeout_ms))
    {
      status_set (st, STATUS_FULL, "answer.memory", NULL, "no memory for an answer of %zu bytes",
                  len);
      return false;
    }
  r->held_answer = wanted;
  return true;
}

void
gate_request_free (GateRequest *r)
{
  gate_memory_give (&r->gate->memory, GATE_MEMORY_REQUESTS, r->held_values);
  gate_memory_give (&r->gate->memory, GATE_MEMORY_ANSWERS, r->held_answer);
  gate_run_abandon (r);
  gate_attempt_cancel (r);
  gate_limit_end (r);
  if (r->counted_in_flight)
    __atomic_sub_fetch (&r->gate->in_flight, 1, __ATOMIC_ACQ_REL);
  json_object_put (r->json);
  buffer_free (&r->body);
  buffer_free (&r->out);
  buffer_free (&r->kept);
  gate_snapshot_put (r->snapshot);
  free (r->excluded);
  free (r->method);
  free (r->path);
  free (r);
}
