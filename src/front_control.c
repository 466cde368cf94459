#include "front_control.h"
#include "front_counter.h"
#include "front_http.h"
#include "front_log.h"
#include "front_peers.h"
#include "front_rows_cache.h"
#include "front_store.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include <stdlib.h>
#include <string.h>

/* Milliseconds after which a front that asked for all rows learns that they are still being read,
 * at a VM with a slow link for seconds: less than it waits for an answer. */
#define PENDING_MS   700
#define METRICS_PATH "/metrics"

/* A long-poll request of another front, held until there are changes. */
typedef struct
{
  struct cds_list_head node;
  FrontControl *control;
  FrontHttpConn *conn;
  RowsRequest request;
  int64_t received_ms;
} HeldPoll;

struct FrontControl
{
  Front *front;
  FrontHttp *ready_server;   /* health check */
  FrontHttp *control_server; /* metrics, and rows for other fronts */
  struct cds_list_head held_polls;
  RowsCache rows;
};

static void
on_ready (FrontHttpConn *conn, const char *path UNUSED, void *user)
{
  FrontControl *control = user;
  bool is_ready = front_is_ready (control->front);

  front_http_answer (conn, is_ready ? HTTP_STATUS_OK : HTTP_STATUS_SERVICE_UNAVAILABLE, NULL, NULL);
}

static void
server_metrics (const Front *front, Buffer *out)
{
  unsigned counts[FRONT_SERVER_STATES] = { 0 };
  unsigned limited = 0;
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (front->servers), node)
  {
    counts[front_server_state (server, clock_boot_ms ())]++;
    limited += server->listed && server->limit.is_named;
  }
  for (unsigned i = 0; i < FRONT_SERVER_STATES; i++)
    buffer_printf (out, "lovage_front_servers_in_state{state=\"%s\"} %u\n",
                   front_server_state_name ((FrontServerState)i), counts[i]);
  buffer_printf (out, "lovage_front_servers_limited %u\n", limited);
}

static void
memory_metrics (const FrontMemory *memory, Buffer *out)
{
  static const char *const uses[MEMORY_USES] = {
    [MEMORY_REQUESTS] = "requests",
    [MEMORY_BODIES] = "bodies",
    [MEMORY_ANSWERS] = "answers",
    [MEMORY_UNREAD] = "unread",
  };

  for (unsigned i = 0; i < MEMORY_USES; i++)
    buffer_printf (out, "lovage_front_held_bytes{use=\"%s\"} %zu\n", uses[i], memory->held[i]);
  buffer_printf (out, "lovage_front_held_bytes_max %zu\n", memory->max);
}

static void
send_metrics (FrontControl *control, FrontHttpConn *conn)
{
  Front *front = control->front;
  Buffer text = { 0 };

  front_counter_metrics (&text);
  front_log_metrics (&text);
  buffer_printf (&text,
                 "lovage_front_ready %d\nlovage_front_connections %u\n"
                 "lovage_front_requests_open %u\nlovage_front_servers %u\n"
                 "lovage_front_peers_alive %u\nlovage_front_config_version %lld\n"
                 "lovage_front_wait_rows %u\nlovage_front_control_connections %u\n",
                 front_is_ready (front), front->conn_count, front->request_count,
                 front_servers_count (front->servers),
                 front_peers_alive (front->peers, clock_boot_ms ()),
                 front->config ? (long long)front->config->version : 0,
                 front_waits_count (front->waits), front_http_count (control->control_server));
  memory_metrics (&front->memory, &text);
  server_metrics (front, &text);
  for (unsigned i = 0; i < STORE_TABLES; i++)
    buffer_printf (
        &text,
        "lovage_front_store_lost{table=\"%u\"} %d\n"
        "lovage_front_store_confirmed_age_ms{table=\"%u\"} %lld\n",
        i, front_store_is_lost (front->store, (StoreTable)i), i,
        (long long)front_store_confirmed_age_ms (front->store, (StoreTable)i, clock_boot_ms ()));
  front_http_answer (conn, HTTP_STATUS_OK, NULL, &text);
  buffer_free (&text);
}

static void
send_rows (FrontControl *control, FrontHttpConn *conn, const RowsRequest *request)
{
  const FrontStore *store = control->front->store;
  const Buffer *text = rows_cache_get (&control->rows, store, request);
  Buffer fields = { 0 };

  if (!text)
    {
      bool has_rows = front_store_rows_state (store, request->table) == FRONT_ROWS_KNOWN;

      front_http_answer (conn, has_rows ? HTTP_STATUS_GONE : HTTP_STATUS_SERVICE_UNAVAILABLE, NULL,
                         NULL);
      return;
    }
  front_counter_add (FRONT_COUNTER_ROWS_GIVEN);
  front_counter_add_many (FRONT_COUNTER_ROWS_GIVEN_BYTES, text->len);
  front_store_tell_time (store, &fields);
  front_http_answer (conn, HTTP_STATUS_OK, fields.data, text);
  buffer_free (&fields);
}

static void
poll_free (HeldPoll *poll)
{
  cds_list_del (&poll->node);
  free (poll);
}

/* The other front closed the connection of a long poll. */
static void
on_connection_closed (FrontHttpConn *conn, void *user)
{
  FrontControl *control = user;
  HeldPoll *poll, *next;

  cds_list_for_each_entry_safe (poll, next, &control->held_polls, node)
  {
    if (poll->conn == conn)
      poll_free (poll);
  }
}

static void
poll_hold (FrontControl *control, FrontHttpConn *conn, const RowsRequest *request)
{
  HeldPoll *poll = memory_alloc (sizeof *poll);

  *poll = (HeldPoll){
    .control = control,
    .conn = conn,
    .request = *request,
    .received_ms = clock_boot_ms (),
  };
  cds_list_add_tail (&poll->node, &control->held_polls);
}

static void
poll_answer (HeldPoll *poll, bool pending)
{
  FrontHttpConn *conn = poll->conn;

  if (pending)
    front_http_answer (conn, FRONT_ROWS_PENDING, NULL, NULL);
  else
    send_rows (poll->control, conn, &poll->request);
  poll_free (poll);
}

static FrontRowsState
rows_state (const HeldPoll *poll)
{
  return front_store_rows_state (poll->control->front->store, poll->request.table);
}

static bool
is_pending (const HeldPoll *poll, int64_t now_ms)
{
  return now_ms - poll->received_ms >= PENDING_MS && rows_state (poll) == FRONT_ROWS_BEING_READ;
}

/* There are changes, there will be none, or the long poll has timed out. */
static bool
is_due (const HeldPoll *poll, int64_t now_ms)
{
  if (rows_state (poll) == FRONT_ROWS_OUT_OF_REACH)
    return true;
  return front_store_has_changes (poll->control->front->store, poll->request.table,
                                  poll->request.since)
         || now_ms - poll->received_ms >= FRONT_LONG_POLL_MS;
}

void
front_control_tick (FrontControl *control, int64_t now_ms)
{
  HeldPoll *poll, *next;

  front_http_sweep (control->ready_server, now_ms);
  front_http_sweep (control->control_server, now_ms);
  cds_list_for_each_entry_safe (poll, next, &control->held_polls, node)
  {
    bool pending = is_pending (poll, now_ms);

    if (pending || is_due (poll, now_ms))
      poll_answer (poll, pending);
  }
}

/* With or without a query. */
static bool
is_metrics_path (const char *path)
{
  size_t len = strcspn (path, "?");

  return len == strlen (METRICS_PATH) && strncmp (path, METRICS_PATH, len) == 0;
}

static void
on_control (FrontHttpConn *conn, const char *path, void *user)
{
  FrontControl *control = user;
  RowsRequest request;

  if (is_metrics_path (path))
    send_metrics (control, conn);
  else if (!front_store_parse_rows_path (path, &request))
    front_http_answer (conn, HTTP_STATUS_NOT_FOUND, NULL, NULL);
  else if (request.wait
           && !front_store_has_changes (control->front->store, request.table, request.since))
    poll_hold (control, conn, &request);
  else
    send_rows (control, conn, &request);
}

FrontControl *
front_control_new (Front *front)
{
  FrontControl *control = memory_alloc (sizeof *control);
  const FrontHttpOptions ready = {
    .connections_max = front->descriptors.ready,
    .request = on_ready,
    .user = control,
  };
  const FrontHttpOptions rows = {
    .connections_max = front->descriptors.control,
    .request = on_control,
    .closed = on_connection_closed,
    .user = control,
  };

  control->front = front;
  front->control = control;
  CDS_INIT_LIST_HEAD (&control->held_polls);
  control->ready_server = front_http_new (front->base, front->settings.ready, &ready);
  control->control_server = front_http_new (front->base, front->settings.control, &rows);
  if (control->ready_server && control->control_server)
    return control;
  front_control_free (control);
  return NULL;
}

void
front_control_free (FrontControl *control)
{
  HeldPoll *poll, *next;

  if (control->ready_server)
    front_http_free (control->ready_server);
  if (control->control_server)
    front_http_free (control->control_server);
  cds_list_for_each_entry_safe (poll, next, &control->held_polls, node) poll_free (poll);
  rows_cache_clear (&control->rows);
  control->front->control = NULL;
  free (control);
}
