/* Applies changed rows of the store to the state of this process. */
#include "front_control.h"
#include "front_log.h"
#include "front_member.h"
#include "front_peers.h"
#include "front_request.h"
#include "front_store_private.h"
#include "util_clock.h"
#include "wire_config.h"
#include "wire_rollout.h"
#include "wire_server.h"
#include "wire_store.h"
#include <string.h>

/* Milliseconds without rows after which the removal of an order that was never read isn't told to
 * other fronts: this one was frozen, and they may have known it for long. */
#define UNSEEN_TOLD_MAX_MS 10000

/* Shows how long the change may have been lacking here, at most. */
static void
log_lateness (FrontLine *line, const FrontStore *store, StoreTable table)
{
  front_log_number (line, "confirmed_age_ms",
                    front_store_confirmed_age_ms (store, table, clock_boot_ms ()));
}

static void
apply_config (FrontStore *store, const StoreRow *row)
{
  Front *front = store->front;
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
  /* An older version may arrive from another source; a process never goes back to it. */
  if (front->config && config->version <= front->config->version)
    {
      front_config_unref (config);
      return;
    }
  front_config_unref (front->config);
  front->config = config;
  line = front_log_begin (FRONT_EVENT_CONFIG_APPLIED);
  front_log_number (line, "config", config->version);
  front_log_number (line, "row_version", store_version_number (row->version));
  front_log_number (line, "routes", config->route_count);
  front_log_number (line, "contended", front_is_contended (front));
  front_log_number (line, "odd_priorities", config->odd_priorities);
  log_lateness (line, store, STORE_OPERATOR);
  front_log_end (line);
}

/* After the store came back from a copy, its orders may be older than those known here, or missing,
 * until they were written again. What differs is applied after that. */
static bool
is_deferred (const FrontStore *store)
{
  return store_era_is_settling (&store->watches[STORE_OPERATOR]);
}

/* False if the row is unreadable, or orders the roll-out of another service than its key names. */
static bool
order_decode (const StoreRow *row, RolloutOrder *order)
{
  const char *service = row->key + strlen (wire_key_rollout);

  return wire_rollout_decode ((Span){ .text = row->value, .len = row->value_len }, row->version,
                              order)
         && strcmp (order->service, service) == 0;
}

static void
log_order_refused (const StoreRow *row)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_ORDER_REFUSED);

  front_log_text (line, "key", row->key);
  front_log_number (line, "row_version", store_version_number (row->version));
  front_log_end (line);
}

static void
apply_order (FrontStore *store, const StoreRow *row)
{
  Front *front = store->front;
  RolloutOrder order;
  FrontLine *line;

  if (row->removed)
    {
      if (!is_deferred (store))
        front_rollouts_order_removed (front->rollouts, row->key + strlen (wire_key_rollout));
      return;
    }
  if (!order_decode (row, &order))
    {
      log_order_refused (row);
      return;
    }
  if (is_deferred (store))
    {
      front_rollouts_repeat_order (front->rollouts, &order);
      return;
    }
  if (!front_rollouts_apply_order (front->rollouts, front->servers, &order, clock_boot_ms ()))
    return;
  line = front_log_begin (FRONT_EVENT_ORDER);
  front_log_text (line, "service", order.service);
  front_log_text (line, "target", order.target);
  front_log_number (line, "duration_ms", order.duration_ms);
  front_log_number (line, "row_version", store_version_number (order.row_version));
  front_log_end (line);
}

static void
log_evacuation (const char *domain, const char *state, int64_t version)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_EVACUATION);

  front_log_text (line, "domain", domain);
  front_log_text (line, "state", state);
  front_log_number (line, "row_version", store_version_number (version));
  front_log_end (line);
}

/* The row's existence is the order, whatever its value: an unreadable value must not send work to a
 * failure domain that is being evacuated. */
static void
apply_evacuation (FrontStore *store, const StoreRow *row)
{
  Front *front = store->front;
  const char *domain = row->key + strlen (wire_key_evacuation);
  bool is_name = domain[0] && strlen (domain) < SERVER_TEXT_MAX;
  const char *state = row->removed ? "taken_back" : "ordered";
  int64_t now_ms = clock_boot_ms ();

  if (row->removed)
    front_peers_send_soon (front->peers);
  if (row->removed && is_deferred (store))
    {
      front_servers_evacuation_may_end (front->servers, domain, row->version, now_ms);
      return;
    }
  if (is_name
      && !front_servers_evacuate (front->servers, domain, !row->removed, row->version, now_ms))
    return;
  log_evacuation (domain, is_name ? state : "refused", row->version);
}

static bool
has_prefix (const char *key, const char *prefix)
{
  return strncmp (key, prefix, strlen (prefix)) == 0;
}

void
store_apply_operator (void *user, const StoreRow *row)
{
  FrontStore *store = user;

  if (strcmp (row->key, wire_key_config) == 0 && !row->removed)
    apply_config (store, row);
  else if (has_prefix (row->key, wire_key_rollout))
    apply_order (store, row);
  else if (has_prefix (row->key, wire_key_evacuation))
    apply_evacuation (store, row);
}

void
store_apply_unseen_ends (FrontStore *store,
                         StoreTable id,
                         const StoreAnswer *changes,
                         int64_t since_ms)
{
  const FrontTable *table = &store->watches[id].table;
  int64_t now_ms = clock_boot_ms ();
  bool is_told_on = since_ms > 0 && now_ms - since_ms < UNSEEN_TOLD_MAX_MS;

  if (id != STORE_OPERATOR)
    return;
  for (unsigned i = 0; i < changes->count; i++)
    {
      const StoreRow *row = &changes->rows[i];
      EvacuationEnd end = {
        .at_ms = now_ms, .version = row->version, .is_second_hand = true, .is_told_on = is_told_on
      };

      if (!row->removed || row->version <= table->version
          || !has_prefix (row->key, wire_key_evacuation) || front_table_find (table, row->key))
        continue;
      end.domain = front_failure_domain_hash (row->key + strlen (wire_key_evacuation));
      if (!front_servers_evacuation_ended (store->front->servers, &end, now_ms))
        continue;
      log_evacuation (row->key + strlen (wire_key_evacuation), "unseen", row->version);
      if (is_told_on)
        front_peers_send_soon (store->front->peers);
    }
}

static void
log_server (const FrontStore *store,
            const StoreRow *row,
            const char *state,
            const ServerEntry *entry)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_SERVER);

  front_log_text (line, "server", row->key);
  front_log_text (line, "state", state);
  front_log_number (line, "row_version", store_version_number (row->version));
  if (entry)
    {
      front_log_text (line, "service", entry->service);
      front_log_number (line, "born", entry->born_ms);
      front_log_text (line, "version", entry->version);
      front_log_text (line, "failure_domain", entry->failure_domain);
    }
  log_lateness (line, store, STORE_SERVERS);
  front_log_end (line);
}

/* The entry may be of before the server became cold, until the server has written it again. */
static void
keep_cold (const FrontStore *store, ServerEntry *entry, int64_t now_ms)
{
  const FrontServer *known = front_servers_find (store->front->servers, entry->id);

  if (store_era_is_settling (&store->watches[STORE_SERVERS]) && known
      && known->cold_until_ms > now_ms + entry->cold_ms)
    entry->cold_ms = known->cold_until_ms - now_ms;
}

static bool
set_server (FrontStore *store, const StoreRow *row, ServerEntry *entry, bool *changed)
{
  int64_t now_ms = clock_boot_ms ();

  if (!wire_server_decode (row->key, (Span){ .text = row->value, .len = row->value_len }, entry))
    return false;
  keep_cold (store, entry, now_ms);
  return front_servers_set (store->front->servers, entry, now_ms, changed);
}

void
store_apply_server (void *user, const StoreRow *row)
{
  FrontStore *store = user;
  Front *front = store->front;
  int64_t now_ms = clock_boot_ms ();
  int64_t grace_ms = store->watches[STORE_SERVERS].recovered_ms + STORE_RELIST_MS - now_ms;
  ServerEntry entry;
  bool changed;

  if (row->removed)
    {
      log_server (store, row, grace_ms > 0 ? "unconfirmed" : "gone", NULL);
      front_servers_remove (front->servers, row->key, now_ms, grace_ms);
    }
  else if (!set_server (store, row, &entry, &changed))
    {
      /* Not written by the server itself. A living server's next report restores the entry. */
      log_server (store, row, "unreadable", NULL);
      front_servers_remove (front->servers, row->key, now_ms, 0);
    }
  else if (changed)
    {
      log_server (store, row, entry.draining ? "draining" : "ready", &entry);
      front_requests_cut_restarted (front);
    }
}

void
store_apply_status (void *user, const StoreRow *row)
{
  FrontStore *store = user;
  RolloutStatus status;
  FrontRollout *rollout;

  if (strcmp (row->key, wire_key_refused) == 0 && !row->removed)
    store_refused_apply (store, row);
  if (!has_prefix (row->key, wire_key_rollout))
    return;
  if (row->removed)
    {
      front_rollouts_status_removed (store->front->rollouts, row->key + strlen (wire_key_rollout));
      return;
    }
  if (!wire_rollout_status_decode ((Span){ .text = row->value, .len = row->value_len }, &status))
    return;
  rollout = front_rollouts_get (store->front->rollouts, row->key + strlen (wire_key_rollout));
  if (status.started_ms != ROLLOUT_START_UNKNOWN
      && !store_clock_to_own (&store->clock, status.started_ms, &status.started_ms))
    status.started_ms = ROLLOUT_START_UNKNOWN;
  if (front_rollouts_apply_status (rollout, &status, row->version))
    {
      FrontLine *line = front_log_begin (FRONT_EVENT_ROLLOUT);

      front_log_text (line, "service", rollout->service);
      front_log_text (line, "target", status.target);
      front_log_number (line, "state", status.state);
      front_log_text (line, "base", rollout->base);
      front_log_number (line, "row_version", store_version_number (row->version));
      front_log_end (line);
    }
}

void
store_apply_member (void *user, const StoreRow *row)
{
  FrontStore *store = user;
  Span value = { .text = row->value, .len = row->value_len };
  FrontMember member;
  FrontLine *line;

  if (row->removed)
    return;
  if (front_member_decode (value, &member)
      && front_peers_add_registered (store->front->peers, row->key,
                                     front_failure_domain_hash (member.failure_domain)))
    return;
  line = front_log_begin (FRONT_EVENT_MEMBER_REFUSED);
  front_log_text (line, "key", row->key);
  front_log_number (line, "row_version", store_version_number (row->version));
  front_log_end (line);
}

/* A status may have been read before the roll-out order that it belongs to. */
static void
statuses_reapply (FrontStore *store)
{
  TableEntry *entry;

  cds_list_for_each_entry (entry, &store->watches[STORE_STATUS].table.entries, node)
  {
    if (!entry->row.removed)
      store_apply_status (store, &entry->row);
  }
}

void
store_apply_deferred (FrontStore *store)
{
  TableEntry *entry;

  cds_list_for_each_entry (entry, &store->watches[STORE_OPERATOR].table.entries, node)
      store_apply_operator (store, &entry->row);
  store_apply_end (store, STORE_OPERATOR);
}

void
store_apply_end (FrontStore *store, StoreTable id)
{
  Front *front = store->front;

  if (id == STORE_SERVERS || id == STORE_OPERATOR)
    front_rollouts_find_base (front->rollouts, front->servers);
  if (id == STORE_SERVERS)
    front->servers_known = true;
  if (id == STORE_OPERATOR)
    statuses_reapply (store);
  if (id == STORE_MEMBERS)
    store_poll_waiting (store);
  front_open (front, clock_boot_ms ());
  /* Starting fronts may be waiting for these rows; waiting for the next tick would mean a tenth of
   * a second of refused requests. */
  if (front->control)
    front_control_tick (front->control, clock_boot_ms ());
}
