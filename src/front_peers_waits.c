/* Tells other fronts how long answers take to begin where they begin late, so that each learns in a
 * second or two what it sees too few answers to learn alone. */
#include "front_counter.h"
#include "front_log.h"
#include "front_peers_private.h"
#include "front_waits_message.h"
#include <math.h>

/* Bytes per second for these messages, UDP and IP headers included. At a large site work messages
 * and others leave 1,300, and nothing during a roll-out. */
#define BYTES_PER_S       4000.0
#define BYTES_PER_S_LARGE 1200.0
#define MS_PER_S          1000.0
/* Milliseconds between two messages at least: samples of that time share one. */
#define INTERVAL_MS 300

static double
rate_of (const FrontPeers *peers)
{
  if (!peers_is_large (peers))
    return BYTES_PER_S;
  return peers_has_rollout (peers) ? 0 : BYTES_PER_S_LARGE;
}

/* The first message after a calm time goes out at once, and the next waits until it is paid for. */
static bool
may_send (FrontPeers *peers, int64_t now_ms)
{
  double rate = rate_of (peers);
  double credit = peers->waits_credit_bytes + rate * (double)(now_ms - peers->waits_ms) / MS_PER_S;

  peers->waits_credit_bytes = fmin (credit, rate);
  peers->waits_ms = now_ms;
  return peers->waits_credit_bytes > 0 && now_ms - peers->waits_sent_ms >= INTERVAL_MS;
}

void
front_peers_send_waits (FrontPeers *peers, int64_t now_ms)
{
  WaitsMessage message = { .incarnation = peers->front->incarnation };
  unsigned char data[WAITS_MESSAGE_MAX];
  unsigned sent;
  size_t len;

  if (!front_is_contended (peers->front) || !may_send (peers, now_ms))
    return;
  message.count = front_waits_take (peers->front->waits, message.reports, WAITS_TOLD_MAX, now_ms);
  if (message.count == 0)
    return;
  len = waits_message_encode (&message, data, sizeof data);
  sent = peers_send_in_turn (peers, data, len, now_ms);
  peers->waits_credit_bytes -= (double)sent * (double)(len + WORK_HEADER_BYTES);
  peers->waits_sent_ms = now_ms;
  front_counter_add_many (FRONT_COUNTER_WAIT_MESSAGES, sent);
}

static void
refuse (const WaitReport *report, const char *reason)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_WAIT_REFUSED);

  front_log_text (line, "reason", reason);
  front_log_number (line, "server", (int64_t)report->server);
  front_log_number (line, "wait_ms", report->wait_ms);
  front_log_number (line, "age_ms", report->age_ms);
  front_log_number (line, "urgency", report->rank);
  front_log_end (line);
}

static void
apply_report (FrontPeers *peers, const WaitReport *report, uint64_t author, int64_t now_ms)
{
  Front *front = peers->front;

  if (!front_servers_find_hash (front->servers, report->server))
    refuse (report, "server_unknown");
  else if (!front_waits_told (front->waits, report, author, now_ms))
    refuse (report, "values");
  else
    front_counter_add (FRONT_COUNTER_WAITS_TOLD);
}

bool
peers_receive_waits (FrontPeers *peers, const void *data, size_t len, int64_t now_ms)
{
  WaitsMessage message;

  if (!waits_message_decode (&message, data, len))
    return false;
  if (message.incarnation == peers->front->incarnation || !front_is_contended (peers->front))
    return true;
  for (uint32_t i = 0; i < message.count; i++)
    apply_report (peers, &message.reports[i], message.incarnation, now_ms);
  return true;
}
