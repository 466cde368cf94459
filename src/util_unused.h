/**
 * Marks a parameter that a callback's type asks for and this callback doesn't need.
 */
#ifndef UTIL_UNUSED_H
#define UTIL_UNUSED_H

#define UNUSED __attribute__ ((unused))

#endif
