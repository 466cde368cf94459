/* Requests for rows between fronts: their URL paths, and decoding of the answers. */
#include "front_compress.h"
#include "front_store.h"
#include "util_span.h"
#include "wire_store.h"
#include <string.h>

static const char rows_prefix[] = "/rows/";
static const char rows_wait[] = "/wait";

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

bool
front_store_decode_peer_answer (const char *data, size_t len, StoreAnswer *answer)
{
  Buffer text = { 0 };
  bool good = front_decompress (&text, data, len, FRONT_COMPRESS_TEXT_MAX) && text.len > 0
              && wire_store_decode (text.data, text.len, answer);

  buffer_free (&text);
  return good;
}
