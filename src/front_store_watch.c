/* Follows one table. front_store_source.c decides where each request goes. */
#include "front_bootstrap.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_peers.h"
#include "front_store_private.h"
#include "util_clock.h"
#include "util_id.h"
#include "util_memory.h"
#include "util_unused.h"
#include "wire_store.h"
#include <stdlib.h>
#include <string.h>

#define MS_PER_S  1000
#define US_PER_MS 1000

/* Milliseconds until a retry after an error; doubles up to the maximum. */
#define RETRY_MIN_MS     120
#define RETRY_MAX_MS     1000
#define HINT_INTERVAL_MS 700 /* minimum milliseconds from a request to its restart by a hint */
/* Milliseconds between an answer of the store and the next poll for changes of servers. A roll-out
 * or a release changes them several times a second, each call has a cost, and a leaving server
 * continues to serve for two seconds. With a longer delay a front would get reports of a change
 * from others first and fetch it from another failure domain (LACKED_MS of front_peers_fetch.c). */
#define SERVERS_POLL_DELAY_MS 300
/* Milliseconds until the answer with a complete table begins, from another front and from the
 * store: a starting front loses this time if an answer is lost. The store may take a second when it
 * is slow. */
#define PEER_LOAD_TIMEOUT_MS  1000
#define STORE_LOAD_TIMEOUT_MS 1500
/* Milliseconds to connect to another front, a hundred times the round trip within a failure domain.
 * After a power loss that front may not run yet, and the kernel retries a connection only after a
 * second. */
#define PEER_CONNECT_TIMEOUT_MS 100
/* Milliseconds that the store holds a sentinel's short poll, and until the answer to that, or to a
 * check, has to begin after that. */
#define SENTINEL_WAIT_MS        1000
#define SHORT_ANSWER_TIMEOUT_MS 500
#define READ_AGAIN_MS           500 /* minimum milliseconds between two reads of a whole table */

typedef struct
{
  const char *name;
  TableChangeCallback change;
  bool followed; /* false: read only once */
} TableKind;

static const TableKind kinds[STORE_TABLES] = {
  [STORE_OPERATOR]
  = { .name = wire_table_operator, .change = store_apply_operator, .followed = true },
  [STORE_SERVERS] = { .name = wire_table_servers, .change = store_apply_server, .followed = true },
  [STORE_STATUS] = { .name = wire_table_status, .change = store_apply_status, .followed = true },
  [STORE_MEMBERS] = { .name = wire_table_members, .change = store_apply_member },
};

static void
lost_set (Watch *watch, bool lost, int status)
{
  FrontLine *line;

  if (watch->lost == lost)
    return;
  watch->lost = lost;
  if (!lost)
    watch->recovered_ms = clock_boot_ms ();
  line = front_log_begin (lost ? FRONT_EVENT_STORE_LOST : FRONT_EVENT_STORE_BACK);
  front_log_text (line, "table", kinds[watch->id].name);
  front_log_number (line, "status", status);
  front_log_number (line, "known", store_version_number (watch->table.version));
  front_log_end (line);
}

void
store_watch_schedule_poll (Watch *watch, int64_t ms)
{
  struct timeval wait = { .tv_sec = ms / MS_PER_S, .tv_usec = ms % MS_PER_S * US_PER_MS };

  evtimer_add (watch->poll_timer, &wait);
}

/* Waits a random time, so that fronts that lost the store at one moment don't all return at one
 * moment. */
static void
handle_store_failure (Watch *watch, int status)
{
  int64_t wait_max_ms = RETRY_MIN_MS << (watch->failures < 4 ? watch->failures : 4);

  watch->failures++;
  front_counter_add (FRONT_COUNTER_STORE_ERRORS);
  lost_set (watch, true, status);
  if (wait_max_ms > RETRY_MAX_MS)
    wait_max_ms = RETRY_MAX_MS;
  store_watch_schedule_poll (
      watch, wait_max_ms / 2 + (int64_t)(id_random_u64 () % (uint64_t)(wait_max_ms / 2)));
}

static void
pages_clear (Watch *watch)
{
  store_answer_clear (&watch->pages);
  buffer_free (&watch->last_key);
  watch->parts_version = 0;
}

/* The store's pages are in the order of their keys; rows may change while they are read, so that
 * changes since the first page's version are polled for afterwards. */
static void
store_page_add (Watch *watch, StoreAnswer *page)
{
  StoreAnswer *all = &watch->pages;

  if (all->count == 0)
    all->version = page->version;
  buffer_clear (&watch->last_key);
  buffer_add (&watch->last_key, page->last_key.data, page->last_key.len);
  store_answer_append (all, page);
}

/* Another front's parts are in the order of their versions: rows that change while they are read
 * come again in a later part. */
static void
peer_part_add (Watch *watch, StoreAnswer *part)
{
  StoreAnswer *all = &watch->pages;

  if (part->base_version != 0)
    all->base_version = part->base_version;
  all->version = part->version;
  watch->parts_version = part->version;
  store_answer_append (all, part);
}

/* The store's pages show the table as of the first one. Rows that another front gave may be old; at
 * the start they count as new, as a front has some seconds to become up to date. */
static void
confirm_loaded (Watch *watch)
{
  if (!watch->asked_peer)
    front_confirm_note (&watch->confirm, watch->pages_asked_ms);
  else if (watch->confirm.at_ms == 0)
    front_confirm_note (&watch->confirm, watch->asked_ms);
}

/* False if these are rows of another front that is behind: they may name servers that have left
 * since, of which nothing is known here. */
static bool
load_page (Watch *watch, StoreAnswer *answer)
{
  bool more = answer->has_more;

  if (watch->asked_peer)
    peer_part_add (watch, answer);
  else
    store_page_add (watch, answer);
  if (more)
    return true;
  if (watch->asked_peer && watch->pages.version < watch->table.version)
    return false;
  store_era_begin (watch, watch->pages.version);
  front_table_apply_snapshot (&watch->table, &watch->pages, kinds[watch->id].change, watch->store);
  pages_clear (watch);
  watch->loaded = true;
  watch->reads_again_at_peers = false;
  if (!watch->asked_peer)
    watch->read_ms = clock_boot_ms ();
  confirm_loaded (watch);
  front_confirm_applied (&watch->confirm, watch->table.version);
  store_apply_end (watch->store, watch->id);
  return true;
}

static void
log_rows_failed (const Watch *watch)
{
  front_store_log_rows_failed (watch->store, watch->id, store_asked_source (watch), watch->asked_ms,
                               watch->channel);
}

/* The store may turn this front away and serve those that it usually asks. */
static void
handle_check_failure (Watch *watch, int status)
{
  log_rows_failed (watch);
  store_confirm_check_failed (watch, clock_boot_ms ());
  if (store_choose_source (watch, clock_boot_ms ()) == SOURCE_STORE)
    handle_store_failure (watch, status);
  else
    {
      front_counter_add (FRONT_COUNTER_STORE_ERRORS);
      store_watch_poll (watch);
    }
}

/* Of a poll, or of a read of the whole table that other fronts may be asked for. */
static void
handle_read_failure (Watch *watch, int status)
{
  if (!watch->loaded && watch->reads_again_at_peers)
    store_confirm_check_failed (watch, clock_boot_ms ());
  handle_store_failure (watch, status);
}

/* Requests the rows from another source. */
static void
handle_peer_failure (Watch *watch)
{
  watch->peer_failures++;
  front_peers_mark_failed (watch->store->front->peers, &watch->source, clock_boot_ms ());
  store_watch_poll (watch);
}

static bool
gets_further (const Watch *watch, const StoreAnswer *answer)
{
  if (watch->asked_peer)
    return !answer->has_more || answer->version > watch->parts_version;
  return store_answer_gets_further (answer, buffer_span (&watch->last_key));
}

/* The source announces more rows and gives none that are new: the read begins again, elsewhere or
 * after a pause. */
static void
handle_repeated_rows (Watch *watch)
{
  store_log_rows_repeated (watch);
  pages_clear (watch);
  if (watch->asked_peer)
    {
      handle_peer_failure (watch);
      return;
    }
  front_counter_add (FRONT_COUNTER_STORE_ERRORS);
  store_watch_schedule_poll (watch, READ_AGAIN_MS);
}

static bool
answer_decode (const Watch *watch, const char *text, size_t len, StoreAnswer *answer)
{
  if (watch->asked_peer)
    return front_store_decode_peer_answer (front_channel_answer (watch->channel), text, len,
                                           answer);
  if (!wire_store_decode (text, len, answer))
    return false;
  store_answer_set_era (answer, watch->store->era);
  return true;
}

/* The source lacks the changes since this front's version: reads all rows. A store that gives this
 * answer again and again must not be read without pause. */
static void
read_again (Watch *watch)
{
  bool was_just_read = clock_boot_ms () - watch->read_ms < READ_AGAIN_MS;

  watch->loaded = false;
  if (watch->asked_peer || (watch->is_check && !store_confirm_may_read (watch, clock_boot_ms ())))
    watch->reads_again_at_peers = true;
  if (!watch->asked_peer && was_just_read)
    store_watch_schedule_poll (watch, READ_AGAIN_MS);
  else
    store_watch_poll (watch);
}

/* Another front doesn't know all removals before its changes. */
static void
read_removals (Watch *watch)
{
  log_rows_failed (watch);
  front_channel_cancel (watch->channel);
  pages_clear (watch);
  watch->loaded = false;
  watch->reads_again_at_peers = true;
  store_watch_poll (watch);
}

/* What another front has answered isn't all that changed. */
static void
read_elsewhere (Watch *watch)
{
  if (watch->loaded)
    {
      read_removals (watch);
      return;
    }
  log_rows_failed (watch);
  pages_clear (watch);
  handle_peer_failure (watch);
}

/* False if another front's answer lacks removals. */
static bool
apply_changes (Watch *watch, StoreAnswer *answer)
{
  bool lacks_removals;

  store_era_begin (watch, answer->version);
  store_apply_unseen_ends (watch->store, watch->id, answer,
                           watch->asked_peer ? 0 : watch->answered_ms);
  front_table_apply_changes (&watch->table, answer, kinds[watch->id].change, watch->store);
  lacks_removals = front_table_lacks_removals (&watch->table, answer);
  if (!lacks_removals)
    front_confirm_applied (&watch->confirm, watch->table.version);
  store_apply_end (watch->store, watch->id);
  if (!watch->asked_peer && !answer->has_more)
    store_confirm_answer (watch, answer, clock_boot_ms ());
  return !lacks_removals;
}

/* True if the answer is of another era of the store than the version that was asked with, and so
 * doesn't follow it. */
static bool
is_era_mixed (const Watch *watch, const StoreAnswer *answer)
{
  return watch->asked_version != 0
         && store_version_era (answer->version) != store_version_era (watch->asked_version);
}

/* Notes the era that the store names in its answer. False if the answer is of an earlier one, and
 * the request has to be sent again. */
static bool
note_era (const Watch *watch)
{
  const HttpReply *reply = front_channel_answer (watch->channel);

  return watch->asked_peer || !reply || store_era_note (watch->store, wire_store_era (reply));
}

static void
on_answer (void *user, int status, const char *text, size_t len)
{
  Watch *watch = user;
  StoreAnswer answer;
  bool applied;

  if (!note_era (watch))
    {
      handle_store_failure (watch, status);
      return;
    }
  if (status == STORE_HTTP_GONE && (!watch->asked_peer || watch->loaded))
    {
      read_again (watch);
      return;
    }
  if (status == FRONT_ROWS_PENDING && watch->asked_peer)
    {
      watch->peer_failures = 0;
      store_watch_poll (watch);
      return;
    }
  if (status != STORE_HTTP_OK || !answer_decode (watch, text, len, &answer))
    {
      if (watch->is_check)
        {
          handle_check_failure (watch, status);
          return;
        }
      if (watch->asked_peer || front_channel_received (watch->channel) > 0)
        log_rows_failed (watch);
      /* That front no longer knows all removals since the first part: it is read again. */
      if (watch->asked_peer
          && (status == HTTP_STATUS_SERVICE_UNAVAILABLE || status == STORE_HTTP_GONE))
        pages_clear (watch);
      if (watch->asked_peer)
        handle_peer_failure (watch);
      else
        handle_read_failure (watch, status);
      return;
    }
  watch->failures = 0;
  watch->peer_failures = 0;
  if (!watch->asked_peer)
    lost_set (watch, false, status);
  front_store_note_time (watch->store, &answer);
  if (!watch->asked_peer && is_era_mixed (watch, &answer))
    {
      pages_clear (watch);
      store_answer_clear (&answer);
      read_again (watch);
      return;
    }
  if (!watch->loaded && !gets_further (watch, &answer))
    {
      store_answer_clear (&answer);
      handle_repeated_rows (watch);
      return;
    }
  applied = watch->loaded ? apply_changes (watch, &answer) : load_page (watch, &answer);
  store_answer_clear (&answer);
  if (!applied)
    {
      read_elsewhere (watch);
      return;
    }
  watch->answered_ms = clock_boot_ms ();
  if (watch->loaded && watch->id == STORE_SERVERS && !watch->asked_peer)
    store_watch_schedule_poll (watch, SERVERS_POLL_DELAY_MS);
  else if (kinds[watch->id].followed || !watch->loaded)
    store_watch_poll (watch);
}

static void
poll_peer (Watch *watch)
{
  /* Another front that is reading the table itself answers once it has the rows. A later part is
   * there already, or has to be requested elsewhere. */
  RowsRequest request = { .table = watch->id, .wait = watch->parts_version == 0 };
  Buffer path = { 0 };

  if (watch->loaded)
    request.since = request.base = watch->table.version;
  else
    {
      request.since = watch->parts_version;
      request.base = watch->pages.base_version;
    }
  front_channel_set_address (watch->channel, &watch->source);
  front_channel_set_connect_timeout (watch->channel, PEER_CONNECT_TIMEOUT_MS);
  front_store_format_rows_path (&path, &request);
  front_channel_request (watch->channel, path.data, NULL,
                         watch->loaded ? STORE_ANSWER_TIMEOUT_MS + FRONT_LONG_POLL_MS
                                       : PEER_LOAD_TIMEOUT_MS);
  buffer_free (&path);
}

static void
poll_store (Watch *watch)
{
  int wait_ms = FRONT_LONG_POLL_MS, answer_ms = STORE_ANSWER_TIMEOUT_MS;
  Buffer path = { 0 };

  watch->is_short_poll = !watch->is_check && store_polls_briefly (watch, watch->asked_ms);
  if (watch->is_short_poll || watch->is_check)
    {
      wait_ms = watch->is_check ? 0 : SENTINEL_WAIT_MS;
      answer_ms = SHORT_ANSWER_TIMEOUT_MS;
    }
  if (watch->parts_version != 0)
    pages_clear (watch);
  store_count_call (watch);
  front_channel_set_address (watch->channel, &watch->store->address);
  front_channel_set_connect_timeout (watch->channel, 0);
  if (watch->loaded)
    wire_changes_path (&path, kinds[watch->id].name, store_version_number (watch->table.version),
                       wait_ms);
  else
    wire_snapshot_path (&path, kinds[watch->id].name, buffer_span (&watch->last_key));
  front_channel_request (watch->channel, path.data, NULL,
                         watch->loaded ? answer_ms + wait_ms : STORE_LOAD_TIMEOUT_MS);
  buffer_free (&path);
}

void
store_watch_poll (Watch *watch)
{
  int64_t now_ms = clock_boot_ms ();
  StoreSource source = store_choose_source (watch, now_ms);

  if (source == SOURCE_UNDECIDED)
    {
      store_watch_schedule_poll (watch, BOOTSTRAP_RETRY_MS);
      return;
    }
  watch->asked_ms = now_ms;
  watch->asked_peer = source == SOURCE_PEER;
  watch->is_check = source == SOURCE_CHECK;
  if (watch->is_check)
    store_confirm_check_begun (watch, now_ms);
  /* A poll from a version of an earlier era may wait for what was written before. */
  if (!watch->asked_peer && watch->table.version != 0
      && store_version_era (watch->table.version) < watch->store->era)
    watch->loaded = false;
  if (!watch->loaded && !watch->last_key.data)
    watch->pages_asked_ms = now_ms;
  watch->asked_version = watch->loaded ? watch->table.version : watch->pages.version;
  watch->is_short_poll = false;
  if (!watch->loaded)
    store_log_rows_asked (watch);
  if (watch->asked_peer)
    poll_peer (watch);
  else
    poll_store (watch);
}

static void
on_poll_timer (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  Watch *watch = user;

  if (!front_channel_is_pending (watch->channel))
    store_watch_poll (watch);
}

void
store_watch_restart_poll (Watch *watch)
{
  if (front_channel_is_receiving (watch->channel)
      && !(watch->asked_peer && front_channel_is_stalled (watch->channel)))
    return;
  front_channel_cancel (watch->channel);
  pages_clear (watch);
  store_watch_poll (watch);
}

void
store_watch_hint (Watch *watch, int64_t version, int64_t now_ms)
{
  /* A transfer in progress would have to start again from the beginning. */
  if (front_channel_is_receiving (watch->channel) || !watch->loaded
      || !front_table_is_behind (&watch->table, version)
      || now_ms - watch->asked_ms < HINT_INTERVAL_MS || !front_channel_is_pending (watch->channel))
    return;
  front_channel_cancel (watch->channel);
  pages_clear (watch);
  /* The source that was asked lacks the change as well: choose another one. */
  log_rows_failed (watch);
  if (watch->asked_peer)
    handle_peer_failure (watch);
  else
    store_watch_poll (watch);
}

/* The complete read in progress is no longer needed: polls for changes instead. */
static void
load_cancel (Watch *watch)
{
  watch->loaded = true;
  watch->reads_again_at_peers = false;
  pages_clear (watch);
  front_channel_cancel (watch->channel);
  store_watch_schedule_poll (watch, 0);
}

/* Rows from another front are treated like those from the store, where they were read. */
void
store_watch_apply_peer_rows (Watch *watch, bool all, StoreAnswer *answer)
{
  bool lacks_removals;

  if (answer->version <= watch->table.version)
    return;
  store_era_begin (watch, answer->version);
  if (all)
    front_table_apply_snapshot (&watch->table, answer, kinds[watch->id].change, watch->store);
  else
    {
      store_apply_unseen_ends (watch->store, watch->id, answer, 0);
      front_table_apply_changes (&watch->table, answer, kinds[watch->id].change, watch->store);
    }
  lacks_removals = front_table_lacks_removals (&watch->table, answer);
  if (!lacks_removals)
    front_confirm_applied (&watch->confirm, watch->table.version);
  store_apply_end (watch->store, watch->id);
  watch->answered_ms = clock_boot_ms ();
  if (lacks_removals && watch->loaded)
    read_removals (watch);
  else if (!lacks_removals && !watch->loaded)
    load_cancel (watch);
}

void
store_watch_init (Watch *watch, FrontStore *store, StoreTable id)
{
  watch->store = store;
  watch->id = id;
  watch->recovered_ms = -STORE_RELIST_MS;
  front_table_init (&watch->table);
  watch->channel = front_channel_new (store->front->base, &store->address, on_answer, watch);
  watch->poll_timer = evtimer_new (store->front->base, on_poll_timer, watch);
}

void
store_watch_clear (Watch *watch)
{
  pages_clear (watch);
  front_channel_free (watch->channel);
  event_free (watch->poll_timer);
  front_table_clear (&watch->table);
}

const char *
store_watch_name (const Watch *watch)
{
  return kinds[watch->id].name;
}
