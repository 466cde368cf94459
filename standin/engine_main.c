/*
 * standin-engine: simulates a model engine with continuous batching, for tests only. It runs no
 * model: the tokens of an answer are words chosen by the prompt's hash.
 */
#include "common_main.h"
#include "engine_calls.h"
#include "engine_load.h"
#include "engine_models.h"
#include "engine_options.h"
#include "engine_run.h"
#include <stdlib.h>

EngineOptions engine_options = { .slots = 16,
                                 .token_ms = 10,
                                 .first_ms = 30,
                                 .cached_share = 0.3,
                                 .prefixes = 64,
                                 .resume_ms = 1000 };

enum
{
  OPTION_SERVES = 256,
  OPTION_SLOTS,
  OPTION_TOKEN_MS,
  OPTION_FIRST_MS,
  OPTION_PREFIXES,
  OPTION_RESUME_MS,
  OPTION_CHECKS_FENCING,
  OPTION_QUALITY,
  OPTION_SPREAD,
  OPTION_RECORD
};

static const struct argp_option option_list[] = {
  { "serves", OPTION_SERVES, "MODEL@VERSION[,...]", 0, "versions loaded at start", 0 },
  { "slots", OPTION_SLOTS, "N", 0, "requests that run at once", 0 },
  { "token-ms", OPTION_TOKEN_MS, "T", 0, "time between two tokens", 0 },
  { "first-ms", OPTION_FIRST_MS, "T", 0, "time from admission to the first token", 0 },
  { "prefixes", OPTION_PREFIXES, "N", 0, "prefixes that the cache holds", 0 },
  { "resume-ms", OPTION_RESUME_MS, "T", 0, "time within which a cut stream can be resumed", 0 },
  { "checks-fencing", OPTION_CHECKS_FENCING, NULL, 0, "refuse orders with outdated fencing numbers",
    0 },
  { "quality", OPTION_QUALITY, "[VERSION=]Q", 0, "mean quality of a version's answers", 0 },
  { "spread", OPTION_SPREAD, "S", 0, "an answer's quality differs by up to S from the mean", 0 },
  { "record", OPTION_RECORD, "FILE", 0, "append a line when a run starts and ends", 0 },
  { 0 }
};

static int64_t
parse_number (const char *arg, struct argp_state *state)
{
  char *end;
  long long n = strtoll (arg, &end, 10);
  if (end == arg || *end || n < 0)
    argp_error (state, "not a non-negative integer: %s", arg);
  return n;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = state->input;
      return 0;
    case OPTION_SERVES:
      models_serve (arg);
      return 0;
    case OPTION_SLOTS:
      engine_options.slots = (int)parse_number (arg, state);
      return 0;
    case OPTION_TOKEN_MS:
      engine_options.token_ms = parse_number (arg, state);
      return 0;
    case OPTION_FIRST_MS:
      engine_options.first_ms = parse_number (arg, state);
      return 0;
    case OPTION_PREFIXES:
      engine_options.prefixes = (int)parse_number (arg, state);
      return 0;
    case OPTION_RESUME_MS:
      engine_options.resume_ms = parse_number (arg, state);
      return 0;
    case OPTION_CHECKS_FENCING:
      engine_options.checks_fencing = true;
      return 0;
    case OPTION_QUALITY:
      if (!models_set_quality (arg))
        argp_error (state, "not a quality from 0 to 1: %s", arg);
      return 0;
    case OPTION_SPREAD:
      engine_options.spread = strtod (arg, NULL);
      return 0;
    case OPTION_RECORD:
      engine_options.record = arg;
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
                             .doc = "Simulates a model engine, for tests.",
                             .children = children };
  StandinEndpoint endpoint = { 0 };
  argp_parse (&argp, argc, argv, 0, NULL, &endpoint);
  standin_block_signals ();
  runs_start ();
  load_start ();
  struct MHD_Daemon *daemon = standin_http_start (endpoint.address, endpoint.port, &engine_routes);
  if (!daemon)
    return EXIT_FAILURE;
  standin_wait_termination ();
  runs_stop ();
  standin_http_stop (daemon);
  return EXIT_SUCCESS;
}
