/**
 * A small configuration with one roll-out, for tests.
 */
#ifndef FAKE_ROLLOUT_H
#define FAKE_ROLLOUT_H

#include "config.h"

/** Rolls model m out from v1 to v2 in two stages. One engine at that port serves them and the
 * withdrawn v0. The caller releases the configuration with config_unref. */
Config *fake_rollout_config (int64_t number, int port, int stage, const char *state);

#endif
