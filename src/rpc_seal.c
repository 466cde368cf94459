/**
 * Sealed messages and the keys derived from the site key, based on libsodium.
 */
#include "rpc_seal.h"
#include "util_memory.h"
#include <errno.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

/* Domain separation: the MAC of a message can never equal a derived key. */
#define MAC_LABEL    "lovage-rpc-1"
#define DERIVE_LABEL "lovage-key-1:"

#define KEY_TEXT_MAX 256 /* bytes */

static void mac_add_number (crypto_generichash_state *state, uint64_t value);
static void mac_compute (const SiteKey *key,
                         unsigned procedure,
                         const rpc_sealed *ask,
                         const rpc_sealed *sealed,
                         uint8_t mac[LOVAGE_MAC_SIZE]);

static atomic_uint_fast64_t next_sequence = 1;

StatusCode
site_key_read (const char *path, SiteKey *out, Status *st)
{
  char text[KEY_TEXT_MAX];
  size_t len, key_len;
  const char *end;
  FILE *f;

  if (sodium_init () < 0)
    return status_set (st, STATUS_INTERNAL, "site_key.read", NULL, "libsodium can't start");
  f = fopen (path, "re");
  if (f == NULL)
    return status_set (st, STATUS_INVALID, "site_key.read", NULL, "%s: %s", path, strerror (errno));
  len = fread (text, 1, sizeof text - 1, f);
  (void)fclose (f);
  text[len] = '\0';
  if (sodium_hex2bin (out->bytes, sizeof out->bytes, text, len, " \t\r\n", &key_len, &end) != 0
      || key_len != SITE_KEY_SIZE || end != text + len)
    {
      sodium_memzero (text, sizeof text);
      return status_set (st, STATUS_INVALID, "site_key.read", NULL,
                         "%s: expected 64 hexadecimal digits", path);
    }
  sodium_memzero (text, sizeof text);
  return status_ok (st);
}

void
site_key_derive (const SiteKey *key, const char *purpose, uint8_t out[SITE_KEY_SIZE])
{
  crypto_generichash_state state;

  (void)crypto_generichash_init (&state, key->bytes, sizeof key->bytes, SITE_KEY_SIZE);
  (void)crypto_generichash_update (&state, (const uint8_t *)DERIVE_LABEL, strlen (DERIVE_LABEL));
  (void)crypto_generichash_update (&state, (const uint8_t *)purpose, strlen (purpose));
  (void)crypto_generichash_final (&state, out, SITE_KEY_SIZE);
}

StatusCode
rpc_seal (const SiteKey *key,
          uint64_t sender,
          unsigned procedure,
          xdrproc_t proc,
          void *value,
          rpc_sealed *out,
          Status *st)
{
  return rpc_seal_answer (key, sender, procedure, NULL, proc, value, out, st);
}

StatusCode
rpc_unseal (const SiteKey *key,
            unsigned procedure,
            xdrproc_t proc,
            const rpc_sealed *sealed,
            void *value,
            Status *st)
{
  return rpc_unseal_answer (key, procedure, NULL, proc, sealed, value, st);
}

StatusCode
rpc_seal_answer (const SiteKey *key,
                 uint64_t sender,
                 unsigned procedure,
                 const rpc_sealed *ask,
                 xdrproc_t proc,
                 void *value,
                 rpc_sealed *out,
                 Status *st)
{
  unsigned long size = xdr_sizeof (proc, value);
  bool_t encoded;
  XDR xdrs;

  memset (out, 0, sizeof *out);
  if (size > LOVAGE_SEALED_MAX)
    return status_set (st, STATUS_INVALID, "rpc.seal", NULL, "message of %lu bytes is too long",
                       size);
  out->sender = sender;
  out->sequence = atomic_fetch_add (&next_sequence, 1);
  out->body.body_len = (u_int)size;
  out->body.body_val = memory_alloc (size == 0 ? 1 : size);
  xdrmem_create (&xdrs, out->body.body_val, (u_int)size, XDR_ENCODE);
  encoded = proc (&xdrs, value);
  if (encoded)
    out->body.body_len = xdr_getpos (&xdrs);
  xdr_destroy (&xdrs);
  if (!encoded)
    {
      rpc_sealed_clear (out);
      return status_set (st, STATUS_INVALID, "rpc.seal", NULL,
                         "a member is out of its bound: procedure %u", procedure);
    }
  mac_compute (key, procedure, ask, out, (uint8_t *)out->mac);
  return status_ok (st);
}

StatusCode
rpc_unseal_answer (const SiteKey *key,
                   unsigned procedure,
                   const rpc_sealed *ask,
                   xdrproc_t proc,
                   const rpc_sealed *sealed,
                   void *value,
                   Status *st)
{
  uint8_t mac[LOVAGE_MAC_SIZE];
  bool_t decoded;
  XDR xdrs;

  mac_compute (key, procedure, ask, sealed, mac);
  if (sodium_memcmp (mac, sealed->mac, sizeof mac) != 0)
    return status_set (st, STATUS_DENIED, "rpc.unseal", NULL, "the MAC does not fit: procedure %u",
                       procedure);
  xdrmem_create (&xdrs, sealed->body.body_val, sealed->body.body_len, XDR_DECODE);
  decoded = proc (&xdrs, value);
  xdr_destroy (&xdrs);
  if (!decoded)
    {
      xdr_free (proc, value);
      return status_set (st, STATUS_INVALID, "rpc.unseal", NULL,
                         "sealed message does not decode: procedure %u", procedure);
    }
  return status_ok (st);
}

void
rpc_sealed_clear (rpc_sealed *sealed)
{
  xdr_free ((xdrproc_t)xdr_rpc_sealed, sealed);
  memset (sealed, 0, sizeof *sealed);
}

size_t
rpc_sealed_size (const rpc_sealed *sealed)
{
  /* sender, sequence, length of the body, the body padded to a multiple of four bytes, MAC */
  return 8 + 8 + 4 + ((size_t)sealed->body.body_len + 3) / 4 * 4 + LOVAGE_MAC_SIZE;
}

static void
mac_compute (const SiteKey *key,
             unsigned procedure,
             const rpc_sealed *ask,
             const rpc_sealed *sealed,
             uint8_t mac[LOVAGE_MAC_SIZE])
{
  crypto_generichash_state state;

  (void)crypto_generichash_init (&state, key->bytes, sizeof key->bytes, LOVAGE_MAC_SIZE);
  (void)crypto_generichash_update (&state, (const uint8_t *)MAC_LABEL, strlen (MAC_LABEL));
  mac_add_number (&state, procedure);
  mac_add_number (&state, ask == NULL ? 0 : 1);
  mac_add_number (&state, ask == NULL ? 0 : ask->sender);
  mac_add_number (&state, ask == NULL ? 0 : ask->sequence);
  mac_add_number (&state, sealed->sender);
  mac_add_number (&state, sealed->sequence);
  (void)crypto_generichash_update (&state, (const uint8_t *)sealed->body.body_val,
                                   sealed->body.body_len);
  (void)crypto_generichash_final (&state, mac, LOVAGE_MAC_SIZE);
}

static void
mac_add_number (crypto_generichash_state *state, uint64_t value)
{
  uint8_t bytes[8];
  size_t i;

  for (i = 0; i < sizeof bytes; i++)
    bytes[i] = (uint8_t)(value >> (8 * (7 - i)));
  (void)crypto_generichash_update (state, bytes, sizeof bytes);
}
