/**
 * Counts the bytes that are held for callers, so that all callers together stay within a share of
 * the VM's memory. Bodies and answers have bounds of their own, so that neither takes the room of
 * short requests. No I/O.
 */
#ifndef FRONT_MEMORY_H
#define FRONT_MEMORY_H

#include <stdbool.h>
#include <stddef.h>

typedef enum
{
  MEMORY_REQUESTS, /**< connections, heads and short bodies */
  MEMORY_BODIES,   /**< bodies longer than MEMORY_SHORT_BODY_BYTES */
  MEMORY_ANSWERS,  /**< parts of answers that have arrived from backend servers */
  MEMORY_UNREAD,   /**< answers that callers have not taken yet */
  MEMORY_USES
} MemoryUse;

/** Longest body that counts as part of its request. */
#define MEMORY_SHORT_BODY_BYTES ((size_t)64 << 10)
/** Longest part of an answer that is kept while it is incomplete, if the VM has room for it. */
#define MEMORY_ANSWER_MAX_BYTES ((size_t)8 << 20)
/** Memory of the VM if the settings don't name it: the smallest that is supported. */
#define MEMORY_DEFAULT_MB 110

typedef struct
{
  size_t machine;    /**< bytes of the VM's memory */
  size_t max;        /**< bytes for all uses together */
  size_t use_max;    /**< bytes for long bodies, and the same for answers */
  size_t answer_max; /**< bytes of one answer that are kept while it is incomplete */
  size_t held[MEMORY_USES];
} FrontMemory;

/** Sets the bounds for a VM with this memory; 0: MEMORY_DEFAULT_MB. */
void front_memory_set (FrontMemory *memory, double machine_mb);
/** Connections of callers whose buffers in the kernel, of buffer_bytes each, fit the VM beside all
 *  that is counted here: bytes that a process has not read yet are its memory, too. */
unsigned front_memory_connections_max (const FrontMemory *memory, size_t buffer_bytes);
/** Replaces a count of from bytes by one of to bytes. */
void front_memory_change (FrontMemory *memory, MemoryUse use, size_t from, size_t to);
/** Bytes for all uses together. */
size_t front_memory_held (const FrontMemory *memory);
/** True if all uses together take more than they may. */
bool front_memory_is_over (const FrontMemory *memory);
/** True if long bodies take more than they may. */
bool front_memory_bodies_are_full (const FrontMemory *memory);
/** True if what is unread by callers leaves so many bytes to an answer. */
bool front_memory_unread_leaves (const FrontMemory *memory, size_t bytes);
/** The same with the answers that are arriving: of those for which there is no room only one is to
 * be read on. */
bool front_memory_answers_leave (const FrontMemory *memory, size_t bytes);
/** True if what is unread leaves no room for the longest answer. */
bool front_memory_unread_is_full (const FrontMemory *memory);

#endif
