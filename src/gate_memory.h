/**
 * Counts the bytes that are held for callers, so that all of them together stay within a share of
 * the VM's memory. Functions may be called in any thread. No I/O.
 */
#ifndef GATE_MEMORY_H
#define GATE_MEMORY_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  GATE_MEMORY_REQUESTS, /**< requests, parsed, and as they are sent on */
  GATE_MEMORY_ANSWERS,  /**< answers that are collected before they are relayed */
  GATE_MEMORY_USES
} GateMemoryUse;

/** Requests up to this length may use all that requests may; longer ones leave a quarter of it. */
#define GATE_MEMORY_SHORT_BYTES ((size_t)64 << 10)
/** A request of N bytes holds this many times N: as received, parsed, and twice as it is sent. */
#define GATE_MEMORY_REQUEST_FACTOR 4

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  size_t max[GATE_MEMORY_USES];
  size_t held[GATE_MEMORY_USES];
  unsigned waiting;         /**< threads that wait for room for answers */
  unsigned connections_max; /**< of callers */
} GateMemory;

/** Sets the bounds for a process that may take so many bytes, with at most streams_max requests in
 * progress. */
void gate_memory_init (GateMemory *memory, int64_t bytes, int64_t streams_max);
void gate_memory_clear (GateMemory *memory);
/** Counts bytes for requests; false, and nothing is counted, if there is no room. */
bool gate_memory_take_request (GateMemory *memory, size_t bytes, bool is_short);
/** Counts bytes for an answer, and waits for room for at most timeout_ms; false if there was none.
 */
bool gate_memory_take_answer (GateMemory *memory, size_t bytes, int64_t timeout_ms);
void gate_memory_give (GateMemory *memory, GateMemoryUse use, size_t bytes);
/** True if answers wait for room. */
bool gate_memory_is_waited_for (GateMemory *memory);
size_t gate_memory_held (GateMemory *memory, GateMemoryUse use);

#endif
