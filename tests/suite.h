/**
 * Main function of a CUnit test program, and helpers for free ports, waiting and temporary files.
 * CUnit's assertions may be used in the main thread only.
 */
#ifndef SUITE_H
#define SUITE_H

#include <CUnit/CUnit.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  const char *name;
  void (*run) (void);
} SuiteCase;

#define SUITE_COUNT(cases) (sizeof (cases) / sizeof (cases)[0])

/** Runs all cases, or those named by the arguments, and returns the exit status for main: 0 only if
 *  assertions were made and none failed. The last line on standard output is "N passed, N failed",
 *  counted in assertions. */
int suite_main (int argc, char **argv, const char *name, const SuiteCase *cases, size_t count);

/** Returns a port of 127.0.0.1 that was just free for both TCP and UDP. */
int suite_free_port (void);

/** Polls until done (context) returns true; returns false after 30 s. */
bool suite_wait (bool (*done) (void *context), void *context);

/** Creates a temporary file with this text and stores its path in path; the caller unlinks it. */
#define SUITE_PATH_SIZE 64
void suite_file (char path[SUITE_PATH_SIZE], const char *text);

#endif
