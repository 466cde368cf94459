#include "util_id.h"
#include "util_assert.h"
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#define ID_BYTES 16

/* sodium_init is idempotent and thread-safe, and cheap after the first call. */
static void
random_bytes (void *out, size_t len)
{
  INVARIANT (sodium_init () >= 0, "len=\"%zu\"", len);
  randombytes_buf (out, len);
}

void
id_random (char out[ID_SIZE])
{
  unsigned char bytes[ID_BYTES];

  random_bytes (bytes, sizeof bytes);
  sodium_bin2hex (out, ID_SIZE, bytes, sizeof bytes);
}

uint64_t
id_random_u64 (void)
{
  uint64_t n;

  random_bytes (&n, sizeof n);
  return n;
}

uint64_t
id_hash (const void *data, size_t len, uint64_t seed)
{
  return XXH64 (data, len, seed);
}

uint64_t
id_hash_string (const char *s, uint64_t seed)
{
  return id_hash (s, strlen (s), seed);
}
