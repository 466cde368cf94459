/* Requests for rows between fronts: their URL paths, and what answers tell besides the rows. */
#include "front_compress.h"
#include "front_store_private.h"
#include "util_clock.h"
#include "util_span.h"
#include "wire_store.h"
#include <inttypes.h>
#include <string.h>

static const char rows_prefix[] = "/rows/";
static const char rows_wait[] = "/wait";
static const char time_field[] = "Store-Time-Ms";

void
front_store_format_rows_path (Buffer *out, const RowsRequest *request)
{
  buffer_printf (out, "%s%d/%lld/%lld%s", rows_prefix, (int)request->table,
                 (long long)request->since, (long long)request->base,
                 request->wait ? rows_wait : "");
}

bool
front_store_parse_rows_path (const char *path, RowsRequest *request)
{
  Span rest;
  int64_t number;

  if (strncmp (path, rows_prefix, strlen (rows_prefix)) != 0)
    return false;
  rest = span_of (path + strlen (rows_prefix));
  if (!span_number (span_cut (&rest, '/'), &number) || number >= STORE_TABLES
      || !span_number (span_cut (&rest, '/'), &request->since)
      || !span_number (span_cut (&rest, '/'), &request->base))
    return false;
  request->table = (StoreTable)number;
  request->wait = span_is (rest, rows_wait + 1);
  return rest.text == NULL || request->wait;
}

void
front_store_note_time (FrontStore *store, const StoreAnswer *answer)
{
  if (answer->has_clock)
    store_clock_set (&store->clock, answer->clock_ms, clock_boot_ms ());
}

void
front_store_tell_time (const FrontStore *store, Buffer *fields)
{
  int64_t store_ms;

  if (store_clock_from_own (&store->clock, clock_boot_ms (), &store_ms))
    buffer_printf (fields, "%s: %" PRId64 "\r\n", time_field, store_ms);
}

bool
front_store_decode_peer_answer (const HttpReply *reply,
                                const char *data,
                                size_t len,
                                StoreAnswer *answer)
{
  Buffer text = { 0 };
  bool good = front_decompress (&text, data, len, FRONT_COMPRESS_TEXT_MAX) && text.len > 0
              && wire_store_decode (text.data, text.len, answer);

  buffer_free (&text);
  if (good)
    answer->has_clock
        = reply && span_number (http_head_get (&reply->head, time_field), &answer->clock_ms);
  return good;
}
