/**
 * Keys of teams: stored as hashes, compared in constant time.
 */
#include "config.h"
#include "util_assert.h"
#include <sodium.h>
#include <string.h>

#define KEY_HASH_BYTES (CONFIG_KEY_HASH_LEN / 2)

void
config_key_hash (const char *key, char out[CONFIG_KEY_HASH_LEN + 1])
{
  unsigned char hash[KEY_HASH_BYTES];
  int failed
      = crypto_generichash (hash, sizeof hash, (const unsigned char *)key, strlen (key), NULL, 0);

  INVARIANT (failed == 0, "hash_bytes=%zu", sizeof hash);
  sodium_bin2hex (out, CONFIG_KEY_HASH_LEN + 1, hash, sizeof hash);
}

/*
 * From the response time of a refusal a caller that guesses keys could learn how much of a hash it
 * has matched, or which team's. So every team's hash is compared, each in constant time, even after
 * a match.
 */
int
config_find_team_by_key (const Config *config, const char *key)
{
  char hash[CONFIG_KEY_HASH_LEN + 1];
  int found = -1;

  config_key_hash (key, hash);
  for (size_t i = 0; i < config->team_count; i++)
    {
      int differs = sodium_memcmp (hash, config->teams[i].key_hash, CONFIG_KEY_HASH_LEN);

      found = differs == 0 ? (int)i : found;
    }
  sodium_memzero (hash, sizeof hash);
  return found;
}
