/**
 * Common parts of the stand-ins' main programs: the options --address and --port, and waiting for
 * a termination signal.
 */
#ifndef COMMON_MAIN_H
#define COMMON_MAIN_H

#include <argp.h>

typedef struct
{
  const char *address;
  int port;
} StandinEndpoint;

/** Child parser for --address and --port; its input is a StandinEndpoint. */
extern const struct argp standin_endpoint_argp;

/** Blocks SIGTERM and SIGINT, so that standin_wait_termination can receive them, and ignores
 *  SIGPIPE. Call it before any thread is started, so that all threads inherit the mask. */
void standin_block_signals (void);
/** Waits for SIGTERM or SIGINT. */
void standin_wait_termination (void);

#endif
