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
/** Makes the allocator give large blocks back to the system as soon as they are freed. To be called
 *  before threads are started. */
void memory_return_freed (void);
char *memory_strdup (const char *s); /**< NULL gives NULL */

#endif
