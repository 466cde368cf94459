/* Rows that other fronts know before the store has told them here. */
#include "front_log.h"
#include "front_peers_private.h"
#include "util_clock.h"
#include "util_id.h"

/* Milliseconds. */
#define AHEAD_MS 350 /* a peer may know more for so long, as the store tells us apart */
#define FETCH_MS 800 /* until a peer's answer begins; another one is asked after that */
/* After the start, in which a front asks its neighbours and the store for the rows that it lacks;
 * where neither have them, fronts of other failure domains are asked. */
#define LOAD_MS 2500

#define STATUS_GOOD        200
#define STATUS_UNAVAILABLE 503

static void
on_fetched (void *user, int status, const char *text, size_t len)
{
  Fetch *fetch = user;
  StoreAnswer answer;

  fetch->done = true;
  /* The peer doesn't remember what was removed since our version. */
  fetch->needs_all = status == STATUS_UNAVAILABLE;
  if (status != STATUS_GOOD || !front_store_decode_peer_answer (text, len, &answer))
    {
      front_store_log_rows_failed (fetch->peers->front->store, fetch->table, &fetch->source,
                                   fetch->asked_ms, fetch->channel);
      return;
    }
  front_store_apply_peer_rows (fetch->peers->front->store, fetch->table, fetch->since, &answer);
  store_answer_clear (&answer);
}

/* Asks for the changes since our version. A whole list of servers, fetched by each front for each
 * change that is late, would make most of the bytes between failure domains. */
static void
fetch_begin (FrontPeers *peers, const Peer *peer, StoreTable table)
{
  Fetch *fetch = &peers->fetches[table];
  struct sockaddr_in source = peer->address;
  FrontLine *line = front_log_begin (FRONT_EVENT_NEWS);
  int64_t since = fetch->needs_all ? 0 : front_store_version (peers->front->store, table);
  Buffer path = { 0 };

  front_log_number (line, "table", table);
  front_log_number (line, "known", front_store_newest (peers->front->store, table));
  front_log_number (line, "peer_knows", peer->newest[table]);
  front_log_number (line, "since", since);
  front_log_number (line, "same_domain", peer->domain == peers->own_domain);
  front_log_end (line);
  source.sin_port = peers->control_port;
  *fetch = (Fetch){ .peers = peers, .table = table, .since = since, .source = source };
  fetch->asked_ms = clock_boot_ms ();
  fetch->channel = front_channel_new (peers->front->base, &source, on_fetched, fetch);
  front_store_format_news_path (&path, table, since, false);
  front_channel_request (fetch->channel, path.data, NULL, FETCH_MS);
  buffer_free (&path);
}

static void
fetch_clear (Fetch *fetch)
{
  if (fetch->channel && fetch->done)
    {
      front_channel_free (fetch->channel);
      fetch->channel = NULL;
    }
}

/* One of the peers that know more than we do, another one each time: the one that knows most may be
 * the one that has just died. */
static const Peer *
informed_peer (const FrontPeers *peers, StoreTable table, bool near_only, int64_t now_ms)
{
  unsigned start = peers->count ? (unsigned)(id_random_u64 () % peers->count) : 0;

  for (unsigned i = 0; i < peers->count; i++)
    {
      const Peer *peer = &peers->list[(start + i) % peers->count];

      if (peer_is_alive (peer, now_ms) && (!near_only || peer->domain == peers->own_domain)
          && front_store_is_behind (peers->front->store, table, peer->newest[table]))
        return peer;
    }
  return NULL;
}

/* Bytes between failure domains have a price; the whole domain may be cut off, though. */
static const Peer *
nearest_informed_peer (const FrontPeers *peers, StoreTable table, int64_t now_ms)
{
  const Peer *near = informed_peer (peers, table, true, now_ms);

  return near ? near : informed_peer (peers, table, false, now_ms);
}

/* A peer that knows more for longer than the store takes to tell us: we are cut off from the store,
 * or our connection to it is silent. */
void
peers_fetch_missing (FrontPeers *peers, StoreTable table, int64_t now_ms)
{
  const Peer *best = nearest_informed_peer (peers, table, now_ms);

  fetch_clear (&peers->fetches[table]);
  /* Over one link the same rows from two fronts would take twice as long. */
  if (front_store_is_receiving (peers->front->store, table))
    return;
  if (front_store_is_loading (peers->front->store, table) && now_ms - peers->started_ms < LOAD_MS)
    return;
  if (!best)
    peers->ahead_since_ms[table] = 0;
  else if (peers->ahead_since_ms[table] == 0)
    peers->ahead_since_ms[table] = now_ms;
  if (!best || now_ms - peers->ahead_since_ms[table] < AHEAD_MS)
    return;
  front_store_hint (peers->front->store, table, best->newest[table], now_ms);
  if (!peers->fetches[table].channel)
    fetch_begin (peers, best, table);
}
