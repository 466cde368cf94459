#include "front_store.h"
#include "front_channel.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_peers.h"
#include "front_socket.h"
#include "util_clock.h"
#include "util_id.h"
#include "util_memory.h"
#include "util_unused.h"
#include "wire_config.h"
#include "wire_rollout.h"
#include "wire_server.h"
#include "wire_store.h"
#include <stdlib.h>
#include <string.h>

/* Milliseconds. */
#define ANSWER_MS      3000 /* an answer beyond this is lost */
#define AGAIN_FIRST_MS 120  /* until the next try after an error, doubling */
#define AGAIN_MOST_MS  1000
/* After the store's return living servers are listed again within two seconds. */
#define RELIST_MS 2200
#define HINT_MS   700 /* a question is asked anew no more often than this */
/* Between an answer and the next question for changes of the servers: a roll-out or a release
 * changes them several times a second, each front's call has a price, and a server that leaves
 * goes on serving for two seconds. */
#define SERVERS_PAUSE_MS 300
#define PEER_AGAIN_MS    3000 /* after a failed answer of another front, the store is asked itself */
/* Bytes of a table from which each front asks the store itself: its link is wide, while a front's
 * carries 10 Mbit/s, and a configuration of 85 KB that changes four times a second would fill
 * the link of one that passes it on to five others. */
#define LARGE_BYTES     16384
#define TURN_MS         300 /* between two fronts' attempts at the same write */
#define STATUS_GOOD     200
#define STATUS_CONFLICT 412
#define STATUS_GONE     410

/* Follows one table: reads all rows, then asks for changes again and again. */
typedef struct
{
  FrontStore *store;
  StoreTable id;
  FrontTable table;
  FrontChannel *channel;
  struct event *again;
  StoreAnswer pages; /* rows of the pages read so far */
  int64_t pages_version;
  char *after;     /* last key of these */
  bool loaded;     /* all rows were read from the store; changes are asked for */
  bool lost;       /* the last question had no good answer */
  unsigned tries;  /* in a row that failed */
  int64_t back_ms; /* when the store answered again after an error */
  int64_t asked_ms;
  bool asked_peer;        /* the open question went to another front */
  int64_t peer_failed_ms; /* when one gave no good answer */
} Watch;

struct FrontStore
{
  Front *front;
  struct sockaddr_in address;
  Watch watches[STORE_TABLES];
  FrontChannel *writer;
  FrontRollout *writing; /* the roll-out whose status is being written; NULL: none */
  FrontRolloutState writing_state;
  int64_t writing_started_ms;
  bool joined; /* our address was written */
  bool joining;
  int64_t clock_ms; /* the store's clock less ours */
  int64_t write_again_ms;
};

static void watch_ask (Watch *watch);
static void on_operator (void *user, const StoreRow *row);
static void on_server (void *user, const StoreRow *row);
static void on_status (void *user, const StoreRow *row);
static void on_member (void *user, const StoreRow *row);

typedef struct
{
  const char *name;
  TableChange change;
  bool followed; /* false: read once */
} TableKind;

static const TableKind kinds[STORE_TABLES] = {
  [STORE_OPERATOR] = { .name = wire_table_operator, .change = on_operator, .followed = true },
  [STORE_SERVERS] = { .name = wire_table_servers, .change = on_server, .followed = true },
  [STORE_STATUS] = { .name = wire_table_status, .change = on_status, .followed = true },
  [STORE_MEMBERS] = { .name = wire_table_members, .change = on_member },
};

static void
apply_config (Front *front, const StoreRow *row)
{
  Status status;
  FrontConfig *config = wire_config_decode (row->value, row->value_len, &status);
  FrontLine *line;

  if (!config)
    {
      line = front_log_begin (FRONT_EVENT_CONFIG_REFUSED);
      front_log_text (line, "error", status.message);
      front_log_number (line, "kept", front->config ? front->config->version : 0);
      front_log_end (line);
      return;
    }
  /* Versions only rise while a process lives, whichever way they come. */
  if (front->config && config->version <= front->config->version)
    {
      front_config_unref (config);
      return;
    }
  front_config_unref (front->config);
  front->config = config;
  line = front_log_begin (FRONT_EVENT_CONFIG_APPLIED);
  front_log_number (line, "config", config->version);
  front_log_number (line, "row_version", row->version);
  front_log_number (line, "routes", config->route_count);
  front_log_end (line);
}

static void
apply_order (Front *front, const StoreRow *row)
{
  RolloutOrder order;
  FrontLine *line;

  if (row->removed)
    {
      front_rollouts_order_removed (front->rollouts, row->key + strlen (wire_key_rollout));
      return;
    }
  if (!wire_rollout_decode ((Span){ .text = row->value, .len = row->value_len }, row->version,
                            &order)
      || !front_rollouts_order (front->rollouts, front->servers, &order, clock_boot_ms ()))
    return;
  line = front_log_begin (FRONT_EVENT_ORDER);
  front_log_text (line, "service", order.service);
  front_log_text (line, "target", order.target);
  front_log_number (line, "duration_ms", order.duration_ms);
  front_log_number (line, "row_version", order.row_version);
  front_log_end (line);
}

static void
on_operator (void *user, const StoreRow *row)
{
  FrontStore *store = user;

  if (strcmp (row->key, wire_key_config) == 0 && !row->removed)
    apply_config (store->front, row);
  else if (strncmp (row->key, wire_key_rollout, strlen (wire_key_rollout)) == 0)
    apply_order (store->front, row);
}

static void
log_server (const char *id, const char *state, const ServerEntry *entry, int64_t row_version)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_SERVER);

  front_log_text (line, "server", id);
  front_log_text (line, "state", state);
  front_log_number (line, "row_version", row_version);
  if (entry)
    {
      front_log_text (line, "service", entry->service);
      front_log_text (line, "version", entry->version);
      front_log_text (line, "failure_domain", entry->failure_domain);
    }
  front_log_end (line);
}

static void
on_server (void *user, const StoreRow *row)
{
  FrontStore *store = user;
  Front *front = store->front;
  int64_t now_ms = clock_boot_ms ();
  int64_t grace_ms = store->watches[STORE_SERVERS].back_ms + RELIST_MS - now_ms;
  ServerEntry entry;
  bool changed;

  if (row->removed)
    {
      log_server (row->key, grace_ms > 0 ? "unconfirmed" : "gone", NULL, row->version);
      front_servers_remove (front->servers, row->key, now_ms, grace_ms);
    }
  else if (!wire_server_decode (row->key, (Span){ .text = row->value, .len = row->value_len },
                                &entry)
           || !front_servers_set (front->servers, &entry, now_ms, &changed))
    log_server (row->key, "unreadable", NULL, row->version);
  else if (changed)
    log_server (row->key, entry.draining ? "draining" : "ready", &entry, row->version);
}

static void
on_status (void *user, const StoreRow *row)
{
  FrontStore *store = user;
  char target[ROLLOUT_TEXT_MAX];
  FrontRolloutState state;
  FrontRollout *rollout;
  int64_t started_ms;

  if (row->removed || strncmp (row->key, wire_key_rollout, strlen (wire_key_rollout)) != 0
      || !wire_rollout_status_decode ((Span){ .text = row->value, .len = row->value_len }, target,
                                      &state, &started_ms))
    return;
  rollout = front_rollouts_get (store->front->rollouts, row->key + strlen (wire_key_rollout));
  if (started_ms != 0 && store->clock_ms != 0)
    started_ms -= store->clock_ms;
  else
    started_ms = 0;
  if (front_rollouts_status (rollout, target, state, row->version, started_ms))
    {
      FrontLine *line = front_log_begin (FRONT_EVENT_ROLLOUT);

      front_log_text (line, "service", rollout->service);
      front_log_text (line, "target", target);
      front_log_number (line, "state", state);
      front_log_number (line, "row_version", row->version);
      front_log_end (line);
    }
}

static void
on_member (void *user, const StoreRow *row)
{
  FrontStore *store = user;

  if (!row->removed)
    front_peers_add (store->front->peers, row->key);
}

/* Statuses may have been read before the orders that they belong to. */
static void
statuses_again (FrontStore *store)
{
  TableEntry *entry;

  cds_list_for_each_entry (entry, &store->watches[STORE_STATUS].table.entries, node)
      on_status (store, &entry->row);
}

static void
after_news (FrontStore *store, StoreTable id)
{
  Front *front = store->front;

  if (id == STORE_SERVERS || id == STORE_OPERATOR)
    front_rollouts_find_base (front->rollouts, front->servers);
  if (id == STORE_SERVERS)
    front->servers_known = true;
  if (id == STORE_OPERATOR)
    statuses_again (store);
}

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
  struct timeval wait = { .tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000 };

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

static void
load_take (Watch *watch, StoreAnswer *answer)
{
  bool more = answer->more && answer->count > 0;

  pages_add (watch, answer);
  if (more)
    return;
  front_table_snapshot (&watch->table, &watch->pages, kinds[watch->id].change, watch->store);
  pages_drop (watch);
  watch->loaded = true;
  after_news (watch->store, watch->id);
}

static void
on_answer (void *user, int status, const char *text, size_t len)
{
  Watch *watch = user;
  StoreAnswer answer;

  if (watch->asked_peer && status != STATUS_GOOD)
    {
      watch->peer_failed_ms = clock_boot_ms ();
      watch_ask (watch);
      return;
    }
  if (status == STATUS_GONE)
    {
      watch->loaded = false; /* the changes since our version are forgotten: read all rows */
      watch_ask (watch);
      return;
    }
  if (status != STATUS_GOOD || !wire_store_decode (text, len, &answer))
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
      after_news (watch->store, watch->id);
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

/* Changes come from another front of our failure domain if one follows the store for us. */
static bool
watch_aim (Watch *watch)
{
  FrontStore *store = watch->store;
  int64_t now_ms = clock_boot_ms ();
  struct sockaddr_in address = store->address;
  bool peer = watch->loaded && !is_large (watch) && now_ms - watch->peer_failed_ms > PEER_AGAIN_MS
              && front_peers_source (store->front->peers, (uint64_t)watch->id, now_ms, &address);

  front_channel_aim (watch->channel, &address);
  return peer;
}

static void
watch_ask (Watch *watch)
{
  Buffer path = { 0 };

  watch->asked_ms = clock_boot_ms ();
  watch->asked_peer = watch_aim (watch);
  if (!watch->asked_peer)
    front_counter_add (FRONT_COUNTER_STORE_CALLS);
  if (watch->asked_peer)
    front_store_news_path (&path, watch->id, watch->table.version, true);
  else if (watch->loaded)
    wire_feed_path (&path, kinds[watch->id].name, watch->table.version, FRONT_NEWS_WAIT_MS);
  else
    wire_rows_path (&path, kinds[watch->id].name, watch->after);
  front_channel_ask (watch->channel, path.data, NULL,
                     ANSWER_MS + (watch->loaded ? FRONT_NEWS_WAIT_MS : 0));
  buffer_free (&path);
}

static void
on_again (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  Watch *watch = user;

  if (!front_channel_is_open (watch->channel))
    watch_ask (watch);
}

int64_t
front_store_version (const FrontStore *store, StoreTable table)
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

  if (watch->table.newest >= version || now_ms - watch->asked_ms < HINT_MS
      || !front_channel_is_open (watch->channel))
    return;
  /* Whom we asked is behind, too: the store itself is asked next. */
  watch->peer_failed_ms = now_ms;
  front_channel_drop (watch->channel);
  pages_drop (watch);
  watch_ask (watch);
}

/* What a peer passes on is as good as the store's own rows: it read them there. */
void
front_store_take (FrontStore *store, StoreTable table, StoreAnswer *answer)
{
  Watch *watch = &store->watches[table];

  if (answer->version <= watch->table.version)
    return;
  front_table_snapshot (&watch->table, answer, kinds[table].change, store);
  after_news (store, table);
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

static const char news_prefix[] = "/news/";
static const char news_wait[] = "/wait";

void
front_store_news_path (Buffer *out, StoreTable table, int64_t since, bool wait)
{
  buffer_printf (out, "%s%d/%lld%s", news_prefix, (int)table, (long long)since,
                 wait ? news_wait : "");
}

bool
front_store_news_parse (const char *path, StoreTable *table, int64_t *since, bool *wait)
{
  Span rest, part;
  int64_t number;

  if (strncmp (path, news_prefix, strlen (news_prefix)) != 0)
    return false;
  rest = span_of (path + strlen (news_prefix));
  part = span_cut (&rest, '/');
  if (!span_number (part, &number) || number >= STORE_TABLES)
    return false;
  *table = (StoreTable)number;
  part = span_cut (&rest, '/');
  *wait = span_is (rest, news_wait + 1);
  return span_number (part, since) && (rest.text == NULL || *wait);
}

static void
write_row (FrontStore *store,
           const char *table,
           const char *key,
           const Buffer *value,
           int64_t expected)
{
  StoreWrite write = {
    .table = table,
    .key = key,
    .value = { .text = value->data, .len = value->len },
    .expected_version = expected,
  };
  Buffer body = { 0 };

  wire_write_body (&body, &write);
  front_counter_add (FRONT_COUNTER_STORE_CALLS);
  front_channel_ask (store->writer, wire_write_path, &body, ANSWER_MS);
  buffer_free (&body);
}

static void
rollout_key (const FrontRollout *rollout, Buffer *out)
{
  buffer_printf (out, "%s%s", wire_key_rollout, rollout->service);
}

static void
write_status (FrontStore *store, FrontRollout *rollout, int64_t now_ms UNUSED)
{
  const FrontTable *table = &store->watches[STORE_STATUS].table;
  FrontLine *line = front_log_begin (FRONT_EVENT_STORE_WRITE);
  Buffer key = { 0 }, value = { 0 };
  const StoreRow *row;

  rollout_key (rollout, &key);
  row = front_table_find (table, key.data);
  store->writing = rollout;
  store->writing_state = rollout->verdict;
  store->writing_started_ms = rollout->started_ms;
  wire_rollout_status_encode (&value, &rollout->order, rollout->verdict,
                              rollout->started_ms + store->clock_ms);
  front_log_text (line, "key", key.data);
  front_log_text (line, "value", value.data);
  front_log_number (line, "expected", row ? row->version : 0);
  front_log_end (line);
  write_row (store, wire_table_status, key.data, &value, row ? row->version : 0);
  buffer_free (&key);
  buffer_free (&value);
}

static void
on_written (void *user, int status, const char *text, size_t len)
{
  FrontStore *store = user;
  StoreAnswer answer;

  if ((status == STATUS_GOOD || status == STATUS_CONFLICT)
      && wire_store_decode (text, len, &answer))
    {
      if (store->joining)
        store->joined = status == STATUS_GOOD;
      else if (status == STATUS_GOOD && store->writing)
        front_rollouts_status (store->writing, store->writing->order.target, store->writing_state,
                               answer.version, 0);
      else if (store->writing) /* another front was first; its row comes with the answer */
        front_table_changes (&store->watches[STORE_STATUS].table,
                             &(StoreAnswer){ .count = answer.count, .rows = answer.rows },
                             on_status, store);
      store_answer_clear (&answer);
    }
  else
    {
      store->write_again_ms = clock_boot_ms () + TURN_MS;
      front_counter_add (FRONT_COUNTER_STORE_ERRORS);
    }
  store->joining = false;
  store->writing = NULL;
}

static void
join (FrontStore *store)
{
  Buffer value = { 0 };

  store->joining = true;
  buffer_add_string (&value, store->front->settings.vm);
  write_row (store, wire_table_members, store->front->settings.ip, &value, -1);
  buffer_free (&value);
}

void
front_store_tick (FrontStore *store, int64_t now_ms)
{
  Front *front = store->front;
  FrontRollout *rollout;

  cds_list_for_each_entry (rollout, front_rollouts_list (front->rollouts), node)
      front_rollout_judge (rollout, now_ms);
  if (front_channel_is_open (store->writer) || now_ms < store->write_again_ms)
    return;
  cds_list_for_each_entry (rollout, front_rollouts_list (front->rollouts), node)
  {
    unsigned rank = front_peers_rank (front->peers, rollout->service_hash, now_ms);

    if (!rollout->has_verdict || now_ms - rollout->verdict_ms < (int64_t)rank * TURN_MS)
      continue;
    write_status (store, rollout, now_ms);
    return;
  }
  if (!store->joined && front->config)
    join (store);
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
  store->writer = front_channel_new (front->base, &address, on_written, store);
  for (unsigned i = 0; i < STORE_TABLES; i++)
    {
      Watch *watch = &store->watches[i];

      watch->store = store;
      watch->id = (StoreTable)i;
      watch->back_ms = -RELIST_MS;
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
