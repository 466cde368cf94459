#include "util_memory.h"
#include "util_assert.h"
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#define LARGE_BLOCK_BYTES (128 * 1024)
#define ARENAS_MAX        2

/* Without a fixed threshold glibc raises it with each large block that is freed, to 32 MB: such
 * blocks then stay with the process. Each further arena may keep as much as the largest one. */
void
memory_return_freed (void)
{
  mallopt (M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
  mallopt (M_TRIM_THRESHOLD, LARGE_BLOCK_BYTES);
  mallopt (M_ARENA_MAX, ARENAS_MAX);
}

void *
memory_alloc (size_t size)
{
  return memory_array (1, size);
}

void *
memory_array (size_t count, size_t size)
{
  void *p = calloc (count ? count : 1, size ? size : 1);

  INVARIANT (p, "count=\"%zu\" size=\"%zu\"", count, size);
  return p;
}

void *
memory_grow (void *p, size_t count, size_t size)
{
  void *grown = reallocarray (p, count ? count : 1, size ? size : 1);

  INVARIANT (grown, "count=\"%zu\" size=\"%zu\"", count, size);
  return grown;
}

char *
memory_strdup (const char *s)
{
  char *copy;

  if (!s)
    return NULL;
  copy = strdup (s);
  INVARIANT (copy, "size=\"%zu\"", strlen (s));
  return copy;
}
