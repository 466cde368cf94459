/**
 * Random 128-bit identifiers as 32 hexadecimal digits, and hashes of names.
 */
#ifndef UTIL_ID_H
#define UTIL_ID_H

#include <stddef.h>
#include <stdint.h>

#define ID_SIZE 33 /**< bytes, with the terminating NUL */

void id_random (char out[ID_SIZE]);
uint64_t id_random_u64 (void);
/** XXH64 of the bytes with a seed; equal on every VM. */
uint64_t id_hash (const void *data, size_t len, uint64_t seed);
uint64_t id_hash_string (const char *s, uint64_t seed);

#endif
