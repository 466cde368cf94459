/* Log lines and counters of requests for rows. */
#include "front_counter.h"
#include "front_log.h"
#include "front_peers.h"
#include "front_store_private.h"
#include "util_clock.h"
#include <arpa/inet.h>

/* The front that was asked; NULL: the store. */
const struct sockaddr_in *
store_asked_source (const Watch *watch)
{
  return watch->asked_peer ? &watch->source : NULL;
}

static void
log_source (FrontLine *line, const struct sockaddr_in *source)
{
  char ip[INET_ADDRSTRLEN] = "store";

  if (source)
    inet_ntop (AF_INET, &source->sin_addr, ip, sizeof ip);
  front_log_text (line, "source", ip);
}

void
front_store_log_rows_failed (const FrontStore *store,
                             StoreTable table,
                             const struct sockaddr_in *source,
                             int64_t asked_ms,
                             const FrontChannel *channel)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_ROWS_FAILED);

  front_log_text (line, "table", store_watch_name (&store->watches[table]));
  log_source (line, source);
  front_log_number (line, "waited_ms", clock_boot_ms () - asked_ms);
  front_log_number (line, "known", store_version_number (store->watches[table].table.version));
  front_log_number (line, "received", (int64_t)front_channel_received (channel));
  front_log_end (line);
  if (front_channel_received (channel) > 0)
    front_counter_add (FRONT_COUNTER_ROWS_CUT);
}

/* Shows which source a front that stays unready waits for. */
void
store_log_rows_asked (const Watch *watch)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_ROWS_ASKED);

  front_log_text (line, "table", store_watch_name (watch));
  log_source (line, store_asked_source (watch));
  front_log_number (line, "age_ms", watch->asked_ms - watch->store->started_ms);
  front_log_number (line, "failures", watch->peer_failures);
  front_log_end (line);
}

void
store_log_rows_repeated (const Watch *watch)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_ROWS_REPEATED);

  front_log_text (line, "table", store_watch_name (watch));
  log_source (line, store_asked_source (watch));
  front_log_number (line, "rows", watch->pages.count);
  if (watch->last_key.data)
    front_log_span (line, "last_key", buffer_span (&watch->last_key));
  front_log_end (line);
}

typedef struct
{
  const char *name; /* in the log */
  FrontCounterId counter;
} CallCause;

static const CallCause *
call_cause (const Watch *watch)
{
  static const CallCause list = { "list", FRONT_COUNTER_STORE_LIST_CALLS };
  static const CallCause first = { "first_read", FRONT_COUNTER_STORE_READ_CALLS };
  static const CallCause again = { "read_again", FRONT_COUNTER_STORE_READ_CALLS };
  static const CallCause sentinel = { "sentinel", FRONT_COUNTER_STORE_SENTINEL_CALLS };
  static const CallCause check = { "check", FRONT_COUNTER_STORE_CHECK_CALLS };
  static const CallCause follow = { "follow", FRONT_COUNTER_STORE_POLL_CALLS };

  if (watch->id == STORE_MEMBERS)
    return &list;
  if (!watch->loaded)
    return watch->table.version == 0 ? &first : &again;
  if (watch->is_check)
    return &check;
  return watch->is_short_poll ? &sentinel : &follow;
}

/* Shows why this front calls the store and not another front. */
void
store_count_call (const Watch *watch)
{
  const CallCause *cause = call_cause (watch);
  FrontLine *line = front_log_begin (FRONT_EVENT_STORE_ASKED);

  front_log_text (line, "table", store_watch_name (watch));
  front_log_text (line, "cause", cause->name);
  front_log_number (line, "known", store_version_number (watch->table.version));
  front_log_number (line, "peer_failures", watch->peer_failures);
  front_log_number (line, "confirmed_age_ms",
                    front_store_confirmed_age_ms (watch->store, watch->id, watch->asked_ms));
  front_log_number (line, "peers", front_peers_alive (watch->store->front->peers, watch->asked_ms));
  front_log_end (line);
  front_counter_add (FRONT_COUNTER_STORE_CALLS);
  front_counter_add (cause->counter);
}
