#include "session.h"
#include "util_assert.h"
#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* Token format: "lvs1." and the base64url of a random id, the version's length, the version and a
 * MAC. The MAC covers the team, which is not in the token: the gate that reads the token gets the
 * team from the caller's key. The random id makes the tokens of two sessions differ, for affinity
 * to a backend server. */
#define TOKEN_PREFIX   "lvs1."
#define MAC_CONTEXT    "lovage-session-1"
#define ID_LEN         8 /* bytes */
#define MAC_LEN        crypto_generichash_BYTES
#define HEAD_LEN       (ID_LEN + 1) /* bytes before the version */
#define PAYLOAD_MAX    (HEAD_LEN + SESSION_VERSION_MAX + MAC_LEN)
#define BASE64_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING

/* Hashes each part with its length, so that no two pairs of team and payload hash alike. */
static void
hash_part (crypto_generichash_state *state, const void *data, size_t len)
{
  uint8_t size[4]
      = { (uint8_t)len, (uint8_t)(len >> 8), (uint8_t)(len >> 16), (uint8_t)(len >> 24) };

  crypto_generichash_update (state, size, sizeof size);
  crypto_generichash_update (state, data, len);
}

static void
compute_mac (const uint8_t key[SESSION_KEY_SIZE],
             const char *team,
             const uint8_t *payload,
             size_t len,
             uint8_t mac[MAC_LEN])
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, key, SESSION_KEY_SIZE, MAC_LEN);
  hash_part (&state, MAC_CONTEXT, strlen (MAC_CONTEXT));
  hash_part (&state, team, strlen (team));
  hash_part (&state, payload, len);
  crypto_generichash_final (&state, mac, MAC_LEN);
}

void
session_seal (const uint8_t key[SESSION_KEY_SIZE],
              const char *team,
              const char *version,
              char out[SESSION_TOKEN_MAX])
{
  uint8_t payload[PAYLOAD_MAX];
  size_t version_len = strnlen (version, SESSION_VERSION_MAX);
  size_t len = HEAD_LEN + version_len;
  size_t prefix_len = strlen (TOKEN_PREFIX);

  INVARIANT (version_len < SESSION_VERSION_MAX, "version_len=%zu", version_len);
  randombytes_buf (payload, ID_LEN);
  payload[ID_LEN] = (uint8_t)version_len;
  memcpy (payload + HEAD_LEN, version, version_len);
  compute_mac (key, team, payload, len, payload + len);
  snprintf (out, SESSION_TOKEN_MAX, "%s", TOKEN_PREFIX);
  sodium_bin2base64 (out + prefix_len, SESSION_TOKEN_MAX - prefix_len, payload, len + MAC_LEN,
                     BASE64_VARIANT);
}

bool
session_open (const uint8_t key[SESSION_KEY_SIZE],
              const char *team,
              const char *token,
              char version[SESSION_VERSION_MAX])
{
  uint8_t payload[PAYLOAD_MAX];
  uint8_t mac[MAC_LEN];
  const char *text = token + strlen (TOKEN_PREFIX);
  size_t len, version_len;

  if (!session_is_token (token))
    return false;
  if (sodium_base642bin (payload, sizeof payload, text, strlen (text), NULL, &len, NULL,
                         BASE64_VARIANT)
      != 0)
    return false;
  if (len < HEAD_LEN + MAC_LEN)
    return false;
  version_len = len - HEAD_LEN - MAC_LEN;
  if (payload[ID_LEN] != version_len || version_len >= SESSION_VERSION_MAX)
    return false;
  compute_mac (key, team, payload, len - MAC_LEN, mac);
  if (sodium_memcmp (mac, payload + len - MAC_LEN, MAC_LEN) != 0)
    return false;
  memcpy (version, payload + HEAD_LEN, version_len);
  version[version_len] = '\0';
  return true;
}

bool
session_is_token (const char *text)
{
  return strncmp (text, TOKEN_PREFIX, strlen (TOKEN_PREFIX)) == 0;
}
