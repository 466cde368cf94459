/* Requests for rows between fronts: their URL paths, and decoding of the answers. */
#include "front_compress.h"
#include "front_store.h"
#include "util_span.h"
#include "wire_store.h"
#include <string.h>

static const char rows_prefix[] = "/news/";
static const char rows_wait[] = "/wait";

void
front_store_format_rows_path (Buffer *out, StoreTable table, int64_t since, bool wait)
{
  buffer_printf (out, "%s%d/%lld%s", rows_prefix, (int)table, (long long)since,
                 wait ? rows_wait : "");
}

bool
front_store_parse_rows_path (const char *path, StoreTable *table, int64_t *since, bool *wait)
{
  Span rest, part;
  int64_t number;

  if (strncmp (path, rows_prefix, strlen (rows_prefix)) != 0)
    return false;
  rest = span_of (path + strlen (rows_prefix));
  part = span_cut (&rest, '/');
  if (!span_number (part, &number) || number >= STORE_TABLES)
    return false;
  *table = (StoreTable)number;
  part = span_cut (&rest, '/');
  *wait = span_is (rest, rows_wait + 1);
  return span_number (part, since) && (rest.text == NULL || *wait);
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
