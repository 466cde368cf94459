#include "front_compress.h"
#include <stdint.h>
#include <stdlib.h>
#include <zlib.h>

#define PIECE 16384 /* bytes unpacked at a time */

bool
front_compress (Buffer *text)
{
  uLongf len = compressBound (text->len);
  Bytef *packed = malloc (len);
  bool good
      = packed
        && compress2 (packed, &len, (const Bytef *)text->data, text->len, Z_BEST_SPEED) == Z_OK;

  if (good)
    {
      buffer_clear (text);
      buffer_add (text, packed, len);
    }
  free (packed);
  return good;
}

bool
front_decompress (Buffer *out, const char *data, size_t len, size_t text_most)
{
  z_stream stream = { .next_in = (Bytef *)(uintptr_t)data, .avail_in = (uInt)len };
  unsigned char piece[PIECE];
  int status = inflateInit (&stream);

  while (status == Z_OK && stream.total_out <= text_most)
    {
      stream.next_out = piece;
      stream.avail_out = sizeof piece;
      status = inflate (&stream, Z_NO_FLUSH);
      buffer_add (out, piece, sizeof piece - stream.avail_out);
    }
  inflateEnd (&stream);
  return status == Z_STREAM_END && stream.avail_in == 0 && out->len <= text_most;
}
