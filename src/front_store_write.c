/* Writes to the store: this front's address, and the status of roll-outs. */
#include "front_canary.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_member.h"
#include "front_peers.h"
#include "front_request.h"
#include "front_store_private.h"
#include "util_clock.h"
#include "wire_rollout.h"
#include "wire_store.h"

static void
write_row (FrontStore *store, const StoreWrite *write)
{
  Buffer body = { 0 };

  wire_write_body (&body, write);
  front_counter_add (FRONT_COUNTER_STORE_CALLS);
  front_counter_add (FRONT_COUNTER_STORE_WRITE_CALLS);
  front_channel_request (store->writer, wire_write_path, &body, STORE_ANSWER_TIMEOUT_MS);
  buffer_free (&body);
}

void
store_write_status_row (FrontStore *store,
                        const char *key,
                        const Buffer *value,
                        const StoreRow *row,
                        const StoreCondition *condition)
{
  StoreWrite write = {
    .table = wire_table_status,
    .key = key,
    .value = { .text = value->data, .len = value->len },
    .expected_version = row ? store_version_number (row->version) : 0,
    .condition = condition,
  };

  write_row (store, &write);
}

static void
rollout_key (const FrontRollout *rollout, Buffer *out)
{
  buffer_printf (out, "%s%s", wire_key_rollout, rollout->service);
}

static void
log_write (const Buffer *key, const Buffer *value, const StoreRow *row, int64_t order_version)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_STORE_WRITE);

  front_log_text (line, "key", key->data);
  front_log_text (line, "value", value->data);
  front_log_number (line, "expected", row ? store_version_number (row->version) : 0);
  front_log_number (line, "order", order_version);
  front_log_end (line);
}

/* The store refuses the status if another order has replaced the one that it is for. */
static void
write_status (FrontStore *store, FrontRollout *rollout)
{
  const FrontTable *table = &store->watches[STORE_STATUS].table;
  StoreCondition order = { .table = wire_table_operator,
                           .version = store_version_number (rollout->order.row_version) };
  Buffer key = { 0 }, value = { 0 };
  RolloutStatus *status = &store->written;
  const StoreRow *row;

  rollout_key (rollout, &key);
  order.key = key.data;
  row = front_table_find (table, key.data);
  store->writing = rollout;
  front_rollout_status (rollout, status);
  if (!store_clock_from_own (&store->clock, rollout->started_ms, &status->started_ms))
    status->started_ms = ROLLOUT_START_UNKNOWN;
  wire_rollout_status_encode (&value, rollout->service, status);
  status->started_ms = ROLLOUT_START_UNKNOWN;
  log_write (&key, &value, row, order.version);
  store_write_status_row (store, key.data, &value, row, &order);
  buffer_free (&key);
  buffer_free (&value);
}

/* Another front wrote first, and the answer contains its row; or another order has replaced the one
 * that the status is for, which the watch of the orders tells. */
static void
apply_conflict (FrontStore *store, const StoreAnswer *answer)
{
  front_table_apply_changes (&store->watches[STORE_STATUS].table,
                             &(StoreAnswer){ .count = answer->count, .rows = answer->rows },
                             store_apply_status, store);
  store->next_write_at_ms = clock_boot_ms () + STORE_RANK_DELAY_MS;
}

void
store_on_written (void *user, int status, const char *text, size_t len)
{
  FrontStore *store = user;
  const HttpReply *reply = front_channel_answer (store->writer);
  StoreAnswer answer;

  if (reply)
    store_era_note (store, wire_store_era (reply));
  if ((status == STORE_HTTP_OK || status == STORE_HTTP_CONFLICT)
      && wire_write_decode (text, len, wire_table_status, &answer))
    {
      store_answer_set_era (&answer, store->era);
      front_store_note_time (store, &answer);
      if (store->registering && status == STORE_HTTP_OK)
        front_peers_set_registered (store->front->peers, true);
      else if (status == STORE_HTTP_OK && store->writing)
        front_rollouts_apply_status (store->writing, &store->written, answer.version);
      else if (store->writing || store->writing_refused)
        apply_conflict (store, &answer);
      store_answer_clear (&answer);
    }
  else
    {
      store->next_write_at_ms = clock_boot_ms () + STORE_RANK_DELAY_MS;
      front_counter_add (FRONT_COUNTER_STORE_ERRORS);
    }
  store->registering = false;
  store->writing = NULL;
  store->writing_refused = false;
}

static void
register_self (FrontStore *store)
{
  const SettingsFront *settings = &store->front->settings;
  Buffer value = { 0 };
  StoreWrite write = { .table = wire_table_members, .key = settings->ip, .expected_version = -1 };

  store->registering = true;
  front_member_encode (&value, settings->vm, settings->failure_domain);
  write.value = (Span){ .text = value.data, .len = value.len };
  write_row (store, &write);
  buffer_free (&value);
}

static void
update_canary (Front *front, FrontRollout *rollout, int64_t now_ms)
{
  CanaryLoad load = { .fronts = front->fronts.fronts };

  if (!front_rollout_is_running (rollout))
    return;
  load.running = front_requests_count_running (front, rollout->service, NULL);
  front_canary_update (rollout, front->servers, &load, now_ms);
}

void
front_store_tick (FrontStore *store, int64_t now_ms)
{
  Front *front = store->front;
  FrontRollout *rollout;

  store_member_list_tick (store, now_ms);
  store_settle_tick (store, now_ms);
  for (unsigned i = 0; i < STORE_TABLES; i++)
    {
      store_poll_tick (&store->watches[i], now_ms);
      store_era_tick (&store->watches[i], now_ms);
    }
  cds_list_for_each_entry (rollout, front_rollouts_list (front->rollouts), node)
  {
    front_rollout_update_verdict (rollout, now_ms);
    update_canary (front, rollout, now_ms);
  }
  front_rollouts_log_evidence (front->rollouts, now_ms);
  if (front_channel_is_pending (store->writer) || now_ms < store->next_write_at_ms)
    return;
  cds_list_for_each_entry (rollout, front_rollouts_list (front->rollouts), node)
  {
    unsigned rank = front_peers_rank (front->peers, rollout->service_hash, now_ms);

    if (!rollout->has_verdict || now_ms - rollout->verdict_ms < (int64_t)rank * STORE_RANK_DELAY_MS)
      continue;
    write_status (store, rollout);
    return;
  }
  if (store_refused_write (store, now_ms))
    return;
  if (store->settled && front->config && !front_peers_is_registered (front->peers)
      && front_peers_is_registrar (front->peers, now_ms))
    register_self (store);
}
