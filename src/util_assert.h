/**
 * Invariants, checked in every build. A process that violates one logs the source location and the
 * values involved and aborts: continuing could bill a request twice or run a withdrawn version.
 */
#ifndef UTIL_ASSERT_H
#define UTIL_ASSERT_H

#define INVARIANT(condition, ...)                                                                  \
  do                                                                                               \
    {                                                                                              \
      if (!(condition))                                                                            \
        invariant_failed (__FILE__, __LINE__, #condition, __VA_ARGS__);                            \
    }                                                                                              \
  while (0)

/** Logs the failed condition and aborts. format gives the values as key=\"%s\" pairs. */
void invariant_failed (const char *file, int line, const char *condition, const char *format, ...)
    __attribute__ ((noreturn, format (printf, 4, 5)));

#endif
