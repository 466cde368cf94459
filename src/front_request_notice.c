/* Records what a backend server's answer says of the server itself. */
#include "front_log.h"
#include "front_request_private.h"
#include "util_clock.h"
#include "wire_call.h"
#include <stdio.h>

#define NUMBER_TEXT_MAX 32

static FrontLine *
log_begin (FrontEventId id, const FrontRequest *request, const FrontServer *server)
{
  FrontLine *line = front_log_begin (id);

  front_log_text (line, "server", server->entry.id);
  front_log_span (line, "request", request->call.id);
  return line;
}

static void
log_limit (const FrontRequest *request, const FrontServer *server, const char *state)
{
  FrontLine *line = log_begin (FRONT_EVENT_SERVER_LIMIT, request, server);
  char per_s[NUMBER_TEXT_MAX];

  snprintf (per_s, sizeof per_s, "%g", server->limit.per_s);
  front_log_text (line, "state", state);
  front_log_text (line, "per_s", per_s);
  front_log_end (line);
}

/* A refusal need not name the limit, and an intermediary's answer doesn't know it. */
static bool
tells_of_limit (const FrontRequest *request, const ReplyInfo *info)
{
  return info->is_signed
         && front_attempt_reply (request->attempt)->status < HTTP_STATUS_MULTIPLE_CHOICES;
}

static void
handle_limit (const FrontRequest *request, FrontServer *server, const ReplyInfo *info)
{
  switch (info->limit)
    {
    case REPLY_LIMIT_NAMED:
      if (server_limit_named (&server->limit, info->limit_per_s, clock_boot_ms ()))
        log_limit (request, server, "named");
      return;
    case REPLY_LIMIT_ABSENT:
      if (tells_of_limit (request, info)
          && server_limit_absent (&server->limit, request->attempt_ms))
        log_limit (request, server, "ended");
      return;
    case REPLY_LIMIT_UNREADABLE:
      log_limit (request, server, "unreadable");
      return;
    }
}

static void
log_brittle (const FrontRequest *request, const FrontServer *server, const char *state)
{
  FrontLine *line = log_begin (FRONT_EVENT_SERVER_BRITTLE, request, server);
  char per_s[NUMBER_TEXT_MAX];

  snprintf (per_s, sizeof per_s, "%g", server->brittle.per_s);
  front_log_text (line, "state", state);
  front_log_text (line, "per_s", per_s);
  front_log_end (line);
}

static void
handle_brittle (const FrontRequest *request, FrontServer *server, const ReplyInfo *info)
{
  switch (info->brittle)
    {
    case REPLY_LIMIT_NAMED:
      if (front_servers_brittle_named (server, info->brittle_per_s, clock_boot_ms ()))
        log_brittle (request, server, "named");
      return;
    case REPLY_LIMIT_ABSENT:
      if (tells_of_limit (request, info)
          && front_servers_brittle_absent (server, request->attempt_ms))
        log_brittle (request, server, "ended");
      return;
    case REPLY_LIMIT_UNREADABLE:
      log_brittle (request, server, "unreadable");
      return;
    }
}

/* A brittle server that turned a request away gets its next one from this front only when its share
 * allows that to be turned away, too. */
static void
rest_brittle (const FrontRequest *request, FrontServer *server)
{
  FrontShare share = { .self = request->front->vm_hash };
  int64_t rest_ms;

  server_brittle_turned_away (&server->brittle, server->running, clock_boot_ms ());
  front_share_set (&share, &request->front->fronts);
  rest_ms = server_brittle_rest_ms (&server->brittle, &share);
  if (rest_ms == 0)
    return;
  front_server_rest (server, rest_ms, clock_boot_ms ());
  front_peers_send_full (request->front->peers, server, clock_boot_ms ());
}

static void
handle_leaving (const FrontRequest *request, FrontServer *server)
{
  bool known = server->leaving;
  FrontLine *line;

  if (!front_servers_said_leaving (server))
    return;
  line = log_begin (FRONT_EVENT_SERVER_LEAVING, request, server);
  front_log_number (line, "known", known);
  front_log_end (line);
}

static void
handle_rest (const FrontRequest *request, FrontServer *server, int64_t rest_ms)
{
  FrontLine *line;

  if (rest_ms == 0)
    return;
  /* The clock is rounded down, and the rest begins within its millisecond. */
  if (rest_ms != REPLY_REST_UNREADABLE)
    front_server_rest (server, rest_ms, clock_boot_ms () + 1);
  line = log_begin (FRONT_EVENT_SERVER_REST, request, server);
  front_log_number (line, "rest_ms", rest_ms);
  front_log_end (line);
}

/* False for an answer that another server gave at this address, and for late bytes that belong to
 * another request. */
static bool
is_from_server (const FrontRequest *request, const ReplyInfo *info)
{
  return !info->other_server
         && (!info->request_id.text || span_equal (info->request_id, request->call.id));
}

static void
handle_notices (const FrontRequest *request, FrontServer *server, const ReplyInfo *info)
{
  handle_limit (request, server, info);
  handle_brittle (request, server, info);
  if (info->leaving)
    handle_leaving (request, server);
}

void
request_handle_relayed_notices (const FrontRequest *request, const ReplyInfo *info)
{
  char id[SERVER_TEXT_MAX];
  FrontServer *server;

  snprintf (id, sizeof id, "%.*s", (int)info->served_by.len, info->served_by.text);
  server = front_servers_find (request->front->servers, id);
  if (server)
    handle_notices (request, server, info);
}

void
request_handle_head (FrontRequest *request)
{
  FrontServer *server = front_servers_current (request->server);
  ReplyInfo info;

  wire_reply_decode (front_attempt_reply (request->attempt), request->server->entry.id, &info);
  if (!is_from_server (request, &info))
    return;
  handle_notices (request, server, &info);
  if (info.not_executed)
    rest_brittle (request, server);
  else
    server_brittle_accepted (&server->brittle);
  handle_rest (request, server, info.rest_ms);
}
