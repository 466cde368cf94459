/**
 * What other fronts have at one backend server, as far as they told when they sent it: reading that
 * waits there, and requests that run. Reading is worked off as time passes, running requests fade;
 * nothing has to be taken back, and what a lost message or a dead front leaves wrong is soon gone.
 * A front of many sees a small part of what its servers get; this tells it the rest. No I/O.
 */
#ifndef FRONT_PEER_LOAD_H
#define FRONT_PEER_LOAD_H

#include <stdint.h>

typedef struct
{
  double read_ms; /**< reading that waits, as of at_ms */
  double running; /**< requests that run, each counted by its model's share; the same */
  int64_t at_ms;
} FrontPeerLoad;

/** Somebody sends the server work; a figure that is no number or below zero adds nothing. */
void front_peer_load_add (FrontPeerLoad *load, double read_ms, double running, int64_t now_ms);
/** Milliseconds of reading that are still to be done. */
double front_peer_load_read_ms (const FrontPeerLoad *load, int64_t now_ms);
double front_peer_load_running (const FrontPeerLoad *load, int64_t now_ms);

#endif
