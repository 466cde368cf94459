/**
 * Fetches configurations from the steward and applies them and the brakes. Except for
 * gate_config_number, all functions are called by the grant thread only.
 */
#ifndef GATE_CONFIG_H
#define GATE_CONFIG_H

#include "gate.h"

/** Number of the configuration in force in this gate; 0: none yet. */
int64_t gate_config_number (Gate *gate);
/** Reads a configuration from the steward and applies it if it is newer than the one in force. */
void gate_config_fetch (Gate *gate, int64_t number);
/** Publishes a new snapshot if the brakes have changed which versions may be used. */
void gate_config_apply_brakes (Gate *gate);

#endif
