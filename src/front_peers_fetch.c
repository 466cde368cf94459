/* Fetches from other fronts rows that the store has not yet reported to this one. */
#include "front_log.h"
#include "front_peers_private.h"
#include "util_clock.h"
#include "util_id.h"

/* Milliseconds that a change known to a peer may be lacking here, as the store doesn't answer all
 * fronts at one moment. */
#define LACKED_MS 350
/* Milliseconds until a peer's answer begins; another peer is asked after that. */
#define FETCH_TIMEOUT_MS 800
/* Milliseconds to connect to a peer, some tens of round trips between failure domains. One that has
 * just lost its power doesn't refuse the connection. */
#define CONNECT_TIMEOUT_MS 200
/* Milliseconds after the start in which a front requests missing rows from its own failure domain
 * and the store only; if neither has them, fronts of other failure domains are asked. */
#define LOCAL_ONLY_MS 2500

/* Whether a peer has rows that are lacking here, from worst to best. Traffic between failure
 * domains has a cost; if the whole domain is cut off from the store, only others are ahead. */
typedef enum
{
  AHEAD_NONE,
  AHEAD_FAILED, /* it has just failed to answer */
  AHEAD_ELSEWHERE,
  AHEAD_HERE, /* in this front's failure domain */
} Ahead;

static void
fetch_send (Fetch *fetch, int64_t since, int64_t base)
{
  RowsRequest request = { .table = fetch->table, .since = since, .base = base };
  Buffer path = { 0 };

  fetch->asked_ms = clock_boot_ms ();
  front_store_format_rows_path (&path, &request);
  front_channel_request (fetch->channel, path.data, NULL, FETCH_TIMEOUT_MS);
  buffer_free (&path);
}

/* Returns true if more rows have to be requested before these can be applied. */
static bool
part_add (Fetch *fetch, StoreAnswer *part)
{
  bool more = part->has_more;

  if (part->base_version != 0)
    fetch->parts.base_version = part->base_version;
  fetch->parts.version = part->version;
  store_answer_append (&fetch->parts, part);
  if (more)
    fetch_send (fetch, fetch->parts.version, fetch->parts.base_version);
  return more;
}

/* False if the peer announces more rows and gives none that are new. */
static bool
gets_further (const Fetch *fetch, const StoreAnswer *part)
{
  return !fetch->reads_all || !part->has_more || part->version > fetch->parts.version;
}

static void
fetch_fail (Fetch *fetch, bool is_peer_faulty)
{
  fetch->done = true;
  if (is_peer_faulty)
    front_peers_mark_failed (fetch->peers, &fetch->source, clock_boot_ms ());
  front_store_log_rows_failed (fetch->peers->front->store, fetch->table, &fetch->source,
                               fetch->asked_ms, fetch->channel);
}

static void
on_fetched (void *user, int status, const char *text, size_t len)
{
  Fetch *fetch = user;
  FrontStore *store = fetch->peers->front->store;
  StoreAnswer answer;

  if (status != HTTP_STATUS_OK
      || !front_store_decode_peer_answer (front_channel_answer (fetch->channel), text, len,
                                          &answer))
    {
      /* The peer no longer has the removals since this front's version. */
      fetch->needs_all = status == HTTP_STATUS_SERVICE_UNAVAILABLE || status == HTTP_STATUS_GONE;
      fetch_fail (fetch, status == 0);
      return;
    }
  if (!gets_further (fetch, &answer))
    {
      store_answer_clear (&answer);
      fetch_fail (fetch, true);
      return;
    }
  front_store_note_time (store, &answer);
  if (!fetch->reads_all)
    front_store_apply_peer_rows (store, fetch->table, false, &answer);
  else if (!part_add (fetch, &answer))
    front_store_apply_peer_rows (store, fetch->table, true, &fetch->parts);
  else
    return;
  fetch->done = true;
  store_answer_clear (&answer);
}

/* Requests the changes since this front's version. If each front fetched the complete list of
 * servers for each delayed change, that would be most of the traffic between failure domains. */
static void
fetch_begin (FrontPeers *peers, const Peer *peer, StoreTable table)
{
  Fetch *fetch = &peers->fetches[table];
  struct sockaddr_in source = peer->address;
  FrontLine *line = front_log_begin (FRONT_EVENT_NEWS);
  int64_t since = fetch->needs_all ? 0 : front_store_version (peers->front->store, table);

  front_log_number (line, "table", table);
  front_log_number (line, "known",
                    store_version_number (front_store_newest (peers->front->store, table)));
  front_log_number (line, "peer_knows", store_version_number (peer->newest[table]));
  front_log_number (line, "peer_era", store_version_era (peer->newest[table]));
  front_log_number (line, "since", store_version_number (since));
  front_log_number (line, "same_domain", peer->domain == peers->own_domain);
  front_log_end (line);
  source.sin_port = peers->control_port;
  *fetch = (Fetch){ .peers = peers, .table = table, .reads_all = since == 0, .source = source };
  fetch->channel = front_channel_new (peers->front->base, &source, on_fetched, fetch);
  front_channel_set_connect_timeout (fetch->channel, CONNECT_TIMEOUT_MS);
  fetch_send (fetch, since, since);
}

static void
fetch_clear (Fetch *fetch)
{
  if (fetch->channel && fetch->done)
    {
      front_channel_free (fetch->channel);
      fetch->channel = NULL;
      store_answer_clear (&fetch->parts);
    }
}

static Ahead
rate_ahead (const FrontPeers *peers, const Peer *peer, StoreTable table, int64_t now_ms)
{
  if (!peer_is_alive (peer, now_ms)
      || !front_store_is_behind (peers->front->store, table, peer->newest[table]))
    return AHEAD_NONE;
  if (peer_has_failed (peer, PEER_FAILED_RETRY_MS, now_ms))
    return AHEAD_FAILED;
  return peer->domain == peers->own_domain ? AHEAD_HERE : AHEAD_ELSEWHERE;
}

/* A random one of the best: the one with the newest rows may have just died. */
static const Peer *
choose_peer_ahead (const FrontPeers *peers, StoreTable table, int64_t now_ms)
{
  unsigned start = peers->count ? (unsigned)(id_random_u64 () % peers->count) : 0;
  const Peer *chosen = NULL;
  Ahead best = AHEAD_NONE;

  for (unsigned i = 0; i < peers->count && best != AHEAD_HERE; i++)
    {
      const Peer *peer = peers->list[(start + i) % peers->count];
      Ahead ahead = rate_ahead (peers, peer, table, now_ms);

      if (ahead <= best)
        continue;
      best = ahead;
      chosen = peer;
    }
  return chosen;
}

/* True if one and the same change is lacking for longer than the store takes to report it. While
 * hundreds of servers register each second some peer is always ahead, though each change arrives in
 * time: that alone is no reason to fetch anything. */
static bool
lacks_change_too_long (FrontPeers *peers, StoreTable table, const Peer *ahead, int64_t now_ms)
{
  int64_t *since_ms = &peers->lacked_since_ms[table];
  int64_t *version = &peers->lacked_version[table];

  if (!ahead)
    {
      *since_ms = 0;
      return false;
    }
  if (*since_ms == 0 || !front_store_is_behind (peers->front->store, table, *version))
    {
      *since_ms = now_ms;
      *version = ahead->newest[table];
    }
  return now_ms - *since_ms >= LACKED_MS;
}

/* Fetches rows if a change is lacking for too long: this front is cut off from the store, or its
 * connection is dead. */
void
peers_fetch_missing (FrontPeers *peers, StoreTable table, int64_t now_ms)
{
  const Peer *ahead = choose_peer_ahead (peers, table, now_ms);

  fetch_clear (&peers->fetches[table]);
  /* Two transfers of the same rows over one link would each take twice as long. */
  if (front_store_is_receiving (peers->front->store, table))
    return;
  if (front_store_is_loading (peers->front->store, table)
      && now_ms - peers->started_ms < LOCAL_ONLY_MS)
    return;
  if (!lacks_change_too_long (peers, table, ahead, now_ms))
    return;
  front_store_hint (peers->front->store, table, ahead->newest[table], now_ms);
  if (!peers->fetches[table].channel)
    fetch_begin (peers, ahead, table);
}
