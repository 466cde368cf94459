#include "gate_filter_private.h"
#include "gate_raw.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include <event2/buffer.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <openssl/ssl.h>
#include <stdlib.h>
#include <sys/socket.h>

#define STEP "request.head"
/* Bytes pending for one side beyond which the other side is no longer read: two reads' worth. */
#define OUTPUT_MAX 32768
/* Bytes of later requests that are buffered while one is being answered. */
#define READ_AHEAD_MAX 32768
/* Interval at which a waiting request checks whether its predecessor has been answered. The caller
 * can see the last byte of an answer some microseconds before the link counts it. */
#define ANSWERED_CHECK_US 1000
#define READ_BLOCK        4096 /* bytes */
/* Time for which the caller's bytes are still read and dropped after the last answer: closing a
 * socket with unread bytes resets the connection, and the caller could lose that answer. */
#define LINGER_S 1

static void caller_read (GateFilter *filter);

static size_t
output_pending (struct bufferevent *bev)
{
  return evbuffer_get_length (bufferevent_get_output (bev));
}

void
filter_free (GateFilter *filter)
{
  filter_give (filter);
  filter->filters->count--;
  cds_list_del (&filter->node);
  event_free (filter->timer);
  bufferevent_free (filter->caller);
  if (filter->server)
    bufferevent_free (filter->server);
  gate_framing_clear (&filter->framing);
  gate_link_unref (filter->link);
  free (filter);
}

/* TLS has a close_notify record; without it the answer looks truncated to the caller. */
static void
end_output (struct bufferevent *caller)
{
  SSL *tls = bufferevent_openssl_get_ssl (caller);

  if (tls)
    SSL_shutdown (tls);
  shutdown (bufferevent_getfd (caller), SHUT_WR);
}

/* May free the filter: the caller of this function must not use it afterwards. */
static void
linger (GateFilter *filter)
{
  struct timeval wait = { .tv_sec = LINGER_S };

  if (filter->lingering || output_pending (filter->caller) > 0)
    return;
  end_output (filter->caller);
  if (filter->skip_linger)
    {
      filter_free (filter);
      return;
    }
  filter->lingering = true;
  bufferevent_enable (filter->caller, EV_READ);
  evtimer_add (filter->timer, &wait);
}

/* May free the filter. */
static void
close_server (GateFilter *filter)
{
  bufferevent_free (filter->server);
  filter->server = NULL;
  filter_give (filter);
  linger (filter);
}

void
filter_refuse (GateFilter *filter, int reason, const char *step)
{
  Refusal refusal = { 0 };
  Buffer answer = { 0 };

  if (!filter->answer_begun)
    {
      refusal_set (&refusal, reason, REQUEST_NOT_RUN, step, NULL);
      gate_raw_answer (&refusal, &answer);
      bufferevent_write (filter->caller, answer.data, answer.len);
      buffer_free (&answer);
    }
  close_server (filter);
}

static void
await_answer (GateFilter *filter)
{
  struct timeval wait = { .tv_usec = ANSWERED_CHECK_US };

  evtimer_add (filter->timer, &wait);
}

/* Called when all earlier requests have been answered: their answers are in the server's socket by
 * now and are forwarded. Bytes that arrive from it later belong to the next request. */
static void
forward_answers (GateFilter *filter)
{
  char block[READ_BLOCK];
  ssize_t len;

  bufferevent_write_buffer (filter->caller, bufferevent_get_input (filter->server));
  while ((len = recv (bufferevent_getfd (filter->server), block, sizeof (block), MSG_DONTWAIT)) > 0)
    bufferevent_write (filter->caller, block, (size_t)len);
  filter->answer_begun = false;
}

/* Forwards one contiguous run of the caller's bytes. Returns REASON_NONE, or why the request is to
 * be refused. */
static int
forward_input (GateFilter *filter)
{
  struct evbuffer *input = bufferevent_get_input (filter->caller);
  struct evbuffer_iovec run;
  Buffer forward = { 0 };
  FramingResult result;
  size_t used = 0;

  evbuffer_peek (input, -1, NULL, &run, 1);
  if (!filter->mid_request)
    {
      forward_answers (filter);
      filter_give_answered (filter);
      filter->received = 0;
      filter->since_ms = clock_boot_ms ();
    }
  filter->received += run.iov_len;
  if (!filter_take (filter, run.iov_len))
    return REASON_OVERLOAD;
  result = gate_framing_feed (&filter->framing, run.iov_base, run.iov_len, &used, &forward);
  if (forward.len > 0)
    bufferevent_write (filter->server, forward.data, forward.len);
  buffer_free (&forward);
  evbuffer_drain (input, used);
  filter->mid_request = result != FRAMING_DONE;
  if (result == FRAMING_DONE)
    filter->requests++;
  return result == FRAMING_FAULT ? gate_framing_fault (&filter->framing) : REASON_NONE;
}

/* Forwards one request at a time. With at most one answer outstanding it is known which request a
 * refusal belongs to. */
static void
caller_read (GateFilter *filter)
{
  struct evbuffer *input = bufferevent_get_input (filter->caller);
  int reason;

  while (filter->server && evbuffer_get_length (input) > 0)
    {
      if (gate_link_answer_count (filter->link) < filter->requests)
        {
          await_answer (filter);
          return;
        }
      reason = forward_input (filter);
      if (reason != REASON_NONE)
        {
          filter_refuse (filter, reason, STEP);
          return;
        }
      if (output_pending (filter->server) > OUTPUT_MAX)
        {
          bufferevent_disable (filter->caller, EV_READ);
          return;
        }
    }
  if (!filter->server)
    evbuffer_drain (input, evbuffer_get_length (input));
}

static void
on_caller_read (struct bufferevent *bev UNUSED, void *context)
{
  caller_read (context);
}

static void
on_caller_written (struct bufferevent *bev UNUSED, void *context)
{
  GateFilter *filter = context;

  if (filter->server)
    bufferevent_enable (filter->server, EV_READ);
  else
    linger (filter);
}

/* The caller has left, has shut down its sending side, or reads nothing any more. Freeing the
 * filter closes libmicrohttpd's connection too, and the request that runs for this caller is
 * cancelled. */
static void
on_caller_event (struct bufferevent *bev UNUSED, short what, void *context)
{
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    filter_free (context);
}

static void
on_server_read (struct bufferevent *bev, void *context)
{
  GateFilter *filter = context;

  filter->answer_begun = true;
  bufferevent_write_buffer (filter->caller, bufferevent_get_input (bev));
  if (output_pending (filter->caller) > OUTPUT_MAX)
    bufferevent_disable (bev, EV_READ);
}

static void
on_server_written (struct bufferevent *bev UNUSED, void *context)
{
  GateFilter *filter = context;

  bufferevent_enable (filter->caller, EV_READ);
  caller_read (filter);
}

static void
on_server_event (struct bufferevent *bev, short what, void *context)
{
  GateFilter *filter = context;

  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  bufferevent_write_buffer (filter->caller, bufferevent_get_input (bev));
  close_server (filter);
}

static void
on_timer (evutil_socket_t fd UNUSED, short what UNUSED, void *context)
{
  GateFilter *filter = context;

  if (filter->lingering)
    filter_free (filter);
  else
    caller_read (filter);
}

static void
on_taken (struct evbuffer *output UNUSED, const struct evbuffer_cb_info *info, void *context)
{
  GateFilter *filter = context;

  if (info->n_deleted > 0 || info->orig_size == 0)
    filter->taken_ms = clock_boot_ms ();
}

void
gate_filters_init (GateFilters *filters, GateMemory *memory)
{
  CDS_INIT_LIST_HEAD (&filters->list);
  filters->count = 0;
  filters->memory = memory;
}

GateFilter *
gate_filter_new (struct bufferevent *caller,
                 struct bufferevent *server,
                 GateLink *link,
                 const GateFilterLimits *limits,
                 GateFilters *filters)
{
  GateFilter *filter = memory_alloc (sizeof (*filter));
  struct timeval stalled = { .tv_sec = limits->stalled_s };

  filter->caller = caller;
  filter->server = server;
  filter->link = gate_link_ref (link);
  filter->timer = evtimer_new (bufferevent_get_base (caller), on_timer, filter);
  gate_framing_init (&filter->framing, limits->head_max);
  filter->filters = filters;
  filter->since_ms = clock_boot_ms ();
  filters->count++;
  cds_list_add_tail (&filter->node, &filters->list);
  evbuffer_add_cb (bufferevent_get_output (caller), on_taken, filter);
  bufferevent_setcb (caller, on_caller_read, on_caller_written, on_caller_event, filter);
  bufferevent_setcb (server, on_server_read, on_server_written, on_server_event, filter);
  bufferevent_setwatermark (caller, EV_READ, 0, READ_AHEAD_MAX);
  bufferevent_set_timeouts (caller, NULL, &stalled);
  bufferevent_enable (caller, EV_READ | EV_WRITE);
  bufferevent_enable (server, EV_READ | EV_WRITE);
  return filter;
}

void
gate_filters_skip_linger (GateFilters *filters)
{
  GateFilter *filter, *next;

  cds_list_for_each_entry_safe (filter, next, &filters->list, node)
  {
    filter->skip_linger = true;
    if (filter->lingering)
      filter_free (filter);
  }
}

void
gate_filters_free (GateFilters *filters)
{
  GateFilter *filter, *next;

  cds_list_for_each_entry_safe (filter, next, &filters->list, node) filter_free (filter);
}
