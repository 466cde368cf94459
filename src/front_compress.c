#include "front_compress.h"
#include <stdint.h>
#include <stdlib.h>
#include <zlib.h>

#define CHUNK_BYTES 16384 /* bytes decompressed at a time */

bool
front_compress (Buffer *text)
{
  uLongf len = compressBound (text->len);
  Bytef *compressed = malloc (len);
  bool good
      = compressed
        && compress2 (compressed, &len, (const Bytef *)text->data, text->len, Z_BEST_SPEED) == Z_OK;

  if (good)
    {
      buffer_clear (text);
      buffer_add (text, compressed, len);
    }
  free (compressed);
  return good;
}

bool
front_decompress (Buffer *out, const char *data, size_t len, size_t text_max)
{
  z_stream stream = { .next_in = (Bytef *)(uintptr_t)data, .avail_in = (uInt)len };
  unsigned char chunk[CHUNK_BYTES];
  int status = inflateInit (&stream);

  while (status == Z_OK && stream.total_out <= text_max)
    {
      stream.next_out = chunk;
      stream.avail_out = sizeof chunk;
      status = inflate (&stream, Z_NO_FLUSH);
      buffer_add (out, chunk, sizeof chunk - stream.avail_out);
    }
  inflateEnd (&stream);
  return status == Z_STREAM_END && stream.avail_in == 0 && out->len <= text_max;
}
