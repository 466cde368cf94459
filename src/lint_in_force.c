#include "lint_in_force.h"
#include "front_channel.h"
#include "front_socket.h"
#include "util_memory.h"
#include "wire_store.h"
#include <stdlib.h>
#include <string.h>

#define HTTP_OK   200
#define MS_PER_S  1000
#define US_PER_MS 1000L

static const char step[] = "store.read";

typedef struct
{
  const char *address;
  int timeout_ms;
  struct event_base *base;
  FrontChannel *channel;
  Buffer last_key; /* of the rows read so far */
  Buffer *text;
  Status *status;
} Reader;

static void
request_rows (Reader *reader)
{
  Buffer path = { 0 };

  wire_snapshot_path (&path, wire_table_operator, buffer_span (&reader->last_key));
  /* The deadline of all requests together comes first. */
  front_channel_request (reader->channel, path.data, NULL, 2 * reader->timeout_ms);
  buffer_free (&path);
}

static const StoreRow *
find_configuration (const StoreAnswer *answer)
{
  for (unsigned i = 0; i < answer->count; i++)
    {
      if (!answer->rows[i].removed && strcmp (answer->rows[i].key, wire_key_config) == 0)
        return &answer->rows[i];
    }
  return NULL;
}

/* True if the next rows were requested. */
static bool
read_rows (Reader *reader, const StoreAnswer *answer)
{
  const StoreRow *row = find_configuration (answer);

  if (row)
    {
      buffer_add (reader->text, row->value, row->value_len);
      status_ok (reader->status);
      return false;
    }
  if (!answer->has_more)
    {
      status_set (reader->status, STATUS_NOT_FOUND, step, reader->address,
                  "the store has no configuration");
      return false;
    }
  if (!store_answer_gets_further (answer, buffer_span (&reader->last_key)))
    {
      status_set (reader->status, STATUS_INVALID, step, reader->address,
                  "the store announces more rows and sends none");
      return false;
    }
  buffer_clear (&reader->last_key);
  buffer_add (&reader->last_key, answer->last_key.data, answer->last_key.len);
  request_rows (reader);
  return true;
}

static void
set_no_answer (Reader *reader)
{
  size_t received = front_channel_received (reader->channel);

  if (received > 0)
    status_set (reader->status, STATUS_UNAVAILABLE, step, reader->address,
                "the answer stops after %zu bytes, is too long or is no HTTP", received);
  else
    status_set (reader->status, STATUS_UNAVAILABLE, step, reader->address,
                "the connection was refused, or closed without an answer");
}

static void
on_answer (void *user, int status, const char *text, size_t len)
{
  Reader *reader = user;
  StoreAnswer answer = { 0 };
  bool goes_on = false;

  if (status == 0)
    set_no_answer (reader);
  else if (status != HTTP_OK)
    status_set (reader->status, STATUS_UNAVAILABLE, step, reader->address,
                "the store answers with HTTP status %d", status);
  else if (!wire_store_decode (text, len, &answer))
    status_set (reader->status, STATUS_INVALID, step, reader->address,
                "the answer isn't one of the store");
  else
    goes_on = read_rows (reader, &answer);
  store_answer_clear (&answer);
  if (!goes_on)
    event_base_loopbreak (reader->base);
}

StatusCode
lint_in_force_read (const char *address, int timeout_ms, Buffer *text, Status *st)
{
  const struct timeval deadline
      = { .tv_sec = timeout_ms / MS_PER_S, .tv_usec = timeout_ms % MS_PER_S * US_PER_MS };
  Reader reader = { .address = address, .timeout_ms = timeout_ms, .text = text, .status = st };
  struct sockaddr_in socket_address;

  if (!front_socket_parse_address (address, &socket_address))
    return status_set (st, STATUS_INVALID, step, address, "the address is not IP:PORT");
  /* Holds unless an answer comes. */
  status_set (st, STATUS_UNAVAILABLE, step, address, "no whole answer within %d ms", timeout_ms);
  reader.base = event_base_new ();
  reader.channel = front_channel_new (reader.base, &socket_address, on_answer, &reader);
  request_rows (&reader);
  event_base_loopexit (reader.base, &deadline);
  event_base_dispatch (reader.base);
  front_channel_free (reader.channel);
  event_base_free (reader.base);
  buffer_free (&reader.last_key);
  return st->code;
}
