/**
 * Memory allocation that never returns NULL: if memory runs out the process aborts, because no
 * caller could continue correctly.
 */
#ifndef UTIL_MEMORY_H
#define UTIL_MEMORY_H

#include <stddef.h>

void *memory_alloc (size_t size);               /**< zeroed */
void *memory_array (size_t count, size_t size); /**< zeroed; checks count * size for overflow */
void *memory_grow (void *p, size_t count, size_t size); /**< reallocarray */
char *memory_strdup (const char *s);                    /**< NULL gives NULL */

#endif
