/*
 * standin-platform: the platform's services (table service, object store, list of VMs, rating) in
 * the memory of one process, for tests only.
 */
#include "common_main.h"
#include "platform_calls.h"
#include "platform_table.h"
#include <stdlib.h>

typedef struct
{
  StandinEndpoint endpoint;
  double noise;
  uint64_t seed;
} Options;

enum
{
  OPTION_NOISE = 256,
  OPTION_SEED
};

static const struct argp_option option_list[]
    = { { "noise", OPTION_NOISE, "DEVIATION", 0, "standard deviation of the ratings' noise", 0 },
        { "seed", OPTION_SEED, "N", 0, "seed of the noise", 0 },
        { 0 } };

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  Options *options = state->input;
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &options->endpoint;
      return 0;
    case OPTION_NOISE:
      options->noise = strtod (arg, NULL);
      return 0;
    case OPTION_SEED:
      options->seed = strtoull (arg, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  const struct argp_child children[] = { { &standin_endpoint_argp, 0, NULL, 0 }, { 0 } };
  const struct argp argp = { .options = option_list,
                             .parser = parse_option,
                             .doc = "The platform's services in memory, for tests.",
                             .children = children };
  Options options = { .seed = 1 };
  argp_parse (&argp, argc, argv, 0, NULL, &options);
  standin_block_signals ();
  if (!table_open ())
    return EXIT_FAILURE;
  platform_set_rate_noise (options.noise, options.seed);
  struct MHD_Daemon *daemon
      = standin_http_start (options.endpoint.address, options.endpoint.port, &platform_routes);
  if (!daemon)
    return EXIT_FAILURE;
  standin_wait_termination ();
  standin_http_stop (daemon);
  table_close ();
  return EXIT_SUCCESS;
}
