/**
 * Sealed messages between the processes of a site: an XDR body with the sender's incarnation, an
 * increasing sequence number and a MAC under the site key, which protects against forged and
 * replayed messages. The MAC of an answer also covers the sender and the sequence number of its
 * request (the ask), so that an old answer cannot be replayed as the answer to a later ask.
 */
#ifndef RPC_SEAL_H
#define RPC_SEAL_H

#include "lovage.h"
#include "util_status.h"
#include <stdbool.h>
#include <stdint.h>

#define SITE_KEY_SIZE 32 /**< bytes */

typedef struct
{
  uint8_t bytes[SITE_KEY_SIZE];
} SiteKey;

/** Reads a key file: 64 hexadecimal digits, white space is ignored. */
StatusCode site_key_read (const char *path, SiteKey *out, Status *st);
/** Derives a key for one purpose, e.g. "session", from the site key. */
void site_key_derive (const SiteKey *key, const char *purpose, uint8_t out[SITE_KEY_SIZE]);

/** Encodes *value with its XDR function and seals it; free with rpc_sealed_clear. The MAC covers
 * the procedure number, so a message is not valid for another procedure. */
StatusCode rpc_seal (const SiteKey *key,
                     uint64_t sender,
                     unsigned procedure,
                     xdrproc_t proc,
                     void *value,
                     rpc_sealed *out,
                     Status *st);
/** Verifies the MAC and decodes the body into *value, which is freed with xdr_free. STATUS_DENIED:
 * wrong MAC; STATUS_INVALID: the body does not decode. Does not check for replays; see
 * rpc_replay.h. */
StatusCode rpc_unseal (const SiteKey *key,
                       unsigned procedure,
                       xdrproc_t proc,
                       const rpc_sealed *sealed,
                       void *value,
                       Status *st);
/** Like rpc_seal, for the answer to an ask (NULL: none). */
StatusCode rpc_seal_answer (const SiteKey *key,
                            uint64_t sender,
                            unsigned procedure,
                            const rpc_sealed *ask,
                            xdrproc_t proc,
                            void *value,
                            rpc_sealed *out,
                            Status *st);
/** Like rpc_unseal; refuses a message that does not answer the ask. */
StatusCode rpc_unseal_answer (const SiteKey *key,
                              unsigned procedure,
                              const rpc_sealed *ask,
                              xdrproc_t proc,
                              const rpc_sealed *sealed,
                              void *value,
                              Status *st);
void rpc_sealed_clear (rpc_sealed *sealed);
/** Size of the sealed message on the wire in bytes, without the headers of RPC and lower layers. */
size_t rpc_sealed_size (const rpc_sealed *sealed);

#endif
