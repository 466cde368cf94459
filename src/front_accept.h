/**
 * Accepts callers' connections, as many as the VM's network link and the process's descriptors
 * allow. Others are closed before their request is read: their callers know that it didn't run, and
 * try another front at once, where they would only wait here.
 */
#ifndef FRONT_ACCEPT_H
#define FRONT_ACCEPT_H

#include "front.h"

/** Binds the callers' address of the settings. Connections wait until front_open. False if the
 *  address is not valid or can't be bound. */
bool front_accept_listen (Front *front);
/** Accepts again after a pause for lack of descriptors. */
void front_accept_tick (Front *front);
/** Refuses new connections from now on. */
void front_accept_close (Front *front);

#endif
