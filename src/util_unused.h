/**
 * Marks a parameter that a callback's type requires but this function does not use.
 */
#ifndef UTIL_UNUSED_H
#define UTIL_UNUSED_H

#define UNUSED __attribute__ ((unused))

#endif
