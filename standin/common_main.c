#include "common_main.h"
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>

#define PORT_MAX 65535

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  StandinEndpoint *endpoint = state->input;
  switch (key)
    {
    case 'a':
      endpoint->address = arg;
      return 0;
    case 'p':
      endpoint->port = (int)strtol (arg, NULL, 10);
      if (endpoint->port < 1 || endpoint->port > PORT_MAX)
        argp_error (state, "the port must be a number from 1 to %d", PORT_MAX);
      return 0;
    case ARGP_KEY_END:
      if (!endpoint->address || !endpoint->port)
        argp_error (state, "--address and --port are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[]
    = { { "address", 'a', "IP", 0, "listen at this address", 0 },
        { "port", 'p', "PORT", 0, "listen at this port", 0 },
        { 0 } };

const struct argp standin_endpoint_argp = { options, parse_option, NULL, NULL, NULL, NULL, NULL };

static void
termination_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
}

void
standin_block_signals (void)
{
  sigset_t set;
  termination_signals (&set);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

void
standin_wait_termination (void)
{
  sigset_t set;
  int signal_number;
  termination_signals (&set);
  sigwait (&set, &signal_number);
}
