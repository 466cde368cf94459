#include "front_counter.h"
#include "front_log.h"
#include "front_peers.h"
#include "front_socket.h"
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

/* Milliseconds. */
#define AGAIN_FIRST_MS 120 /* until the next try after an error, doubling */
#define AGAIN_MOST_MS  1000
#define HINT_MS        700 /* a question is asked anew no more often than this */
/* Between an answer and the next question for changes of the servers: a roll-out or a release
 * changes them several times a second, each front's call has a price, and a server that leaves
 * goes on serving for two seconds. */
#define SERVERS_PAUSE_MS 300
#define PEER_AGAIN_MS    3000 /* after a failed answer of another front, the store is asked itself */
/* Bytes of a table from which each front asks the store itself: its link is wide, while a front's
 * carries 10 Mbit/s, and a configuration of 85 KB that changes four times a second would fill
 * the link of one that passes it on to five others. */
#define LARGE_BYTES 16384

/* A store may fall silent without any connection ending, and what was asked before its return is
 * never answered; keep-alive doesn't show it. So that not all fronts wait for the end of long
 * questions, a few of them, whichever are first by rank, ask short ones of the tables that callers
 * depend on: with three, one may be stopped and one frozen. They learn of a change within the two
 * times below, tell it with their next message, and the others ask anew. It costs two calls a
 * second and front, whatever the number of fronts. */
#define SENTINELS          3
#define SENTINEL_WAIT_MS   1000
#define SENTINEL_ANSWER_MS 500

static void watch_ask (Watch *watch);

typedef struct
{
  const char *name;
  TableChange change;
  bool followed; /* false: read once */
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
    watch->back_ms = clock_boot_ms ();
  line = front_log_begin (lost ? FRONT_EVENT_STORE_LOST : FRONT_EVENT_STORE_BACK);
  front_log_text (line, "table", kinds[watch->id].name);
  front_log_number (line, "status", status);
  front_log_number (line, "known", watch->table.version);
  front_log_end (line);
}

static void
again_in (Watch *watch, int64_t ms)
{
  struct timeval wait = { .tv_sec = ms / MS_PER_S, .tv_usec = ms % MS_PER_S * US_PER_MS };

  evtimer_add (watch->again, &wait);
}

/* Fronts that lose the store at one moment must not all come back at one: the wait is random. */
static void
watch_failed (Watch *watch, int status)
{
  int64_t most_ms = AGAIN_FIRST_MS << (watch->tries < 4 ? watch->tries : 4);

  watch->tries++;
  front_counter_add (FRONT_COUNTER_STORE_ERRORS);
  lost_set (watch, true, status);
  if (most_ms > AGAIN_MOST_MS)
    most_ms = AGAIN_MOST_MS;
  again_in (watch, most_ms / 2 + (int64_t)(id_random_u64 () % (uint64_t)(most_ms / 2)));
}

static void
pages_drop (Watch *watch)
{
  store_answer_clear (&watch->pages);
  free (watch->after);
  watch->after = NULL;
}

static void
pages_add (Watch *watch, StoreAnswer *page)
{
  StoreAnswer *all = &watch->pages;

  if (all->count == 0)
    all->version = page->version;
  all->rows = memory_grow (all->rows, all->count + page->count, sizeof *all->rows);
  memcpy (all->rows + all->count, page->rows, page->count * sizeof *page->rows);
  all->count += page->count;
  free (page->rows);
  page->rows = NULL;
  page->count = 0;
  free (watch->after);
  watch->after = all->count ? memory_strdup (all->rows[all->count - 1].key) : NULL;
}

/* A peer's rows are newer than the pages read so far: a front that starts beside 300 others reads
 * 1 of 6 pages of 3,000 servers from the store, and the rest within its own failure domain. */
static bool
peer_was_faster (const Watch *watch, const StoreAnswer *answer)
{
  int64_t version = watch->pages.count > 0 ? watch->pages.version : answer->version;

  return watch->table.version >= version;
}

static void
load_take (Watch *watch, StoreAnswer *answer)
{
  bool more = answer->more && answer->count > 0;

  if (more && peer_was_faster (watch, answer))
    {
      pages_drop (watch);
      watch->loaded = true;
      return;
    }
  pages_add (watch, answer);
  if (more)
    return;
  front_table_snapshot (&watch->table, &watch->pages, kinds[watch->id].change, watch->store);
  pages_drop (watch);
  watch->loaded = true;
  store_apply_end (watch->store, watch->id);
}

static void
on_answer (void *user, int status, const char *text, size_t len)
{
  Watch *watch = user;
  StoreAnswer answer;

  if (watch->asked_peer && status != STORE_GOOD)
    {
      watch->peer_failed_ms = clock_boot_ms ();
      watch_ask (watch);
      return;
    }
  if (status == STORE_GONE)
    {
      watch->loaded = false; /* the changes since our version are forgotten: read all rows */
      watch_ask (watch);
      return;
    }
  if (status != STORE_GOOD || !wire_store_decode (text, len, &answer))
    {
      watch_failed (watch, status);
      return;
    }
  watch->tries = 0;
  lost_set (watch, false, status);
  if (answer.clock_ms != 0)
    watch->store->clock_ms = answer.clock_ms - clock_boot_ms ();
  if (!watch->loaded)
    load_take (watch, &answer);
  else
    {
      front_table_changes (&watch->table, &answer, kinds[watch->id].change, watch->store);
      store_apply_end (watch->store, watch->id);
    }
  store_answer_clear (&answer);
  if (watch->loaded && watch->id == STORE_SERVERS)
    again_in (watch, SERVERS_PAUSE_MS);
  else if (kinds[watch->id].followed || !watch->loaded)
    watch_ask (watch);
}

/* Servers change one by one and only their changes are told; the configuration comes whole. */
static bool
is_large (const Watch *watch)
{
  return watch->id == STORE_OPERATOR && front_table_bytes (&watch->table) >= LARGE_BYTES;
}

static bool
is_sentinel (const Watch *watch)
{
  return (watch->id == STORE_OPERATOR || watch->id == STORE_SERVERS) && watch->loaded
         && front_peers_rank (watch->store->front->peers, (uint64_t)watch->id + 1, clock_boot_ms ())
                < SENTINELS;
}

/* Changes come from another front of our failure domain if one follows the store for us. */
static bool
watch_aim (Watch *watch)
{
  FrontStore *store = watch->store;
  int64_t now_ms = clock_boot_ms ();
  struct sockaddr_in address = store->address;
  bool peer = watch->loaded && !is_large (watch) && !is_sentinel (watch)
              && now_ms - watch->peer_failed_ms > PEER_AGAIN_MS
              && front_peers_source (store->front->peers, (uint64_t)watch->id, now_ms, &address);

  front_channel_aim (watch->channel, &address);
  return peer;
}

static void
watch_ask (Watch *watch)
{
  bool sentinel = is_sentinel (watch);
  int wait_ms = sentinel ? SENTINEL_WAIT_MS : FRONT_NEWS_WAIT_MS;
  int answer_ms = sentinel ? SENTINEL_ANSWER_MS : STORE_ANSWER_MS;
  Buffer path = { 0 };

  watch->asked_ms = clock_boot_ms ();
  watch->asked_peer = watch_aim (watch);
  if (!watch->asked_peer)
    front_counter_add (FRONT_COUNTER_STORE_CALLS);
  if (watch->asked_peer)
    front_store_news_path (&path, watch->id, watch->table.version, true);
  else if (watch->loaded)
    wire_feed_path (&path, kinds[watch->id].name, watch->table.version, wait_ms);
  else
    wire_rows_path (&path, kinds[watch->id].name, watch->after);
  front_channel_ask (watch->channel, path.data, NULL, answer_ms + (watch->loaded ? wait_ms : 0));
  buffer_free (&path);
}

static void
on_again (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  Watch *watch = user;

  if (!front_channel_is_open (watch->channel))
    watch_ask (watch);
}

bool
front_store_is_behind (const FrontStore *store, StoreTable table, int64_t newest_elsewhere)
{
  return front_table_is_behind (&store->watches[table].table, newest_elsewhere);
}

int64_t
front_store_newest (const FrontStore *store, StoreTable table)
{
  return store->watches[table].table.newest;
}

bool
front_store_is_lost (const FrontStore *store, StoreTable table)
{
  return store->watches[table].lost;
}

void
front_store_hint (FrontStore *store, StoreTable table, int64_t version, int64_t now_ms)
{
  Watch *watch = &store->watches[table];

  /* While all rows are being read, asking anew would begin from the first page again. */
  if (!watch->loaded || !front_table_is_behind (&watch->table, version)
      || now_ms - watch->asked_ms < HINT_MS || !front_channel_is_open (watch->channel))
    return;
  /* Whom we asked is behind, too: the store itself is asked next. */
  watch->peer_failed_ms = now_ms;
  front_channel_drop (watch->channel);
  pages_drop (watch);
  watch_ask (watch);
}

int64_t
front_store_version (const FrontStore *store, StoreTable table)
{
  return store->watches[table].table.version;
}

bool
front_store_reads_pages (const FrontStore *store, StoreTable table)
{
  return store->watches[table].after != NULL;
}

/* What a peer passes on is as good as the store's own rows: it read them there. */
void
front_store_take (FrontStore *store, StoreTable table, int64_t since, StoreAnswer *answer)
{
  Watch *watch = &store->watches[table];

  if (answer->version <= watch->table.version)
    return;
  if (since == 0)
    front_table_snapshot (&watch->table, answer, kinds[table].change, store);
  else
    front_table_changes (&watch->table, answer, kinds[table].change, store);
  store_apply_end (store, table);
}

bool
front_store_give (const FrontStore *store, StoreTable table, int64_t since, Buffer *out)
{
  const Watch *watch = &store->watches[table];

  if (watch->table.version == 0 || (since != 0 && !front_table_remembers (&watch->table, since)))
    return false;
  wire_store_encode (out, &watch->table, since);
  return true;
}

bool
front_store_has_news (const FrontStore *store, StoreTable table, int64_t since)
{
  return store->watches[table].table.newest > since;
}

FrontStore *
front_store_new (Front *front)
{
  FrontStore *store;
  struct sockaddr_in address;

  if (!front_socket_address (front->settings.store, &address))
    return NULL;
  store = memory_alloc (sizeof *store);
  store->front = front;
  store->address = address;
  store->writer = front_channel_new (front->base, &address, store_written, store);
  for (unsigned i = 0; i < STORE_TABLES; i++)
    {
      Watch *watch = &store->watches[i];

      watch->store = store;
      watch->id = (StoreTable)i;
      watch->back_ms = -STORE_RELIST_MS;
      watch->peer_failed_ms = -PEER_AGAIN_MS;
      front_table_init (&watch->table);
      watch->channel = front_channel_new (front->base, &address, on_answer, watch);
      watch->again = evtimer_new (front->base, on_again, watch);
      watch_ask (watch);
    }
  return store;
}

void
front_store_free (FrontStore *store)
{
  for (unsigned i = 0; i < STORE_TABLES; i++)
    {
      Watch *watch = &store->watches[i];

      pages_drop (watch);
      front_channel_free (watch->channel);
      event_free (watch->again);
      front_table_clear (&watch->table);
    }
  front_channel_free (store->writer);
  free (store);
}
