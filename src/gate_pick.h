/**
 * Lets a policy choose a backend server by the servers' current states. Copies only the states
 * that the choice needs.
 */
#ifndef GATE_PICK_H
#define GATE_PICK_H

#include "choose_index.h"
#include "choose_server.h"
#include "gate_servers.h"

/** Fills query->views for the policy's pick and resets it to NULL. servers is by server index.
 * Returns the index of the chosen server, or -1 if none is usable. */
int gate_pick (const ServerPolicy *policy, GateServer *const *servers, ServerQuery *query);

#endif
