/**
 * Closes connections whose request takes too long to arrive. A thread checks all connections at
 * regular intervals. libmicrohttpd's own time-out is not enough: each byte restarts it, so a caller
 * that sends a byte now and then could occupy a thread without end.
 */
#ifndef GATE_SWEEP_H
#define GATE_SWEEP_H

#include "settings.h"
#include <stddef.h>

typedef struct GateSweep GateSweep;
typedef struct SweepEntry SweepEntry;

GateSweep *gate_sweep_start (const SettingsGate *settings);
void gate_sweep_stop (GateSweep *sweep);

SweepEntry *gate_sweep_add (GateSweep *sweep, int fd);
void gate_sweep_remove (GateSweep *sweep, SweepEntry *entry);
/** Call when a request has begun to arrive. */
void gate_sweep_set_reading (GateSweep *sweep, SweepEntry *entry);
/** Call when the request has arrived; its time is limited elsewhere. */
void gate_sweep_set_working (GateSweep *sweep, SweepEntry *entry);
/** Number of connections that are not idle: nothing, or a part of a request, has arrived, or a
 * request is being answered. */
size_t gate_sweep_active_count (GateSweep *sweep);
/** Call when the request has been answered and the connection waits for the next one. */
void gate_sweep_set_idle (GateSweep *sweep, SweepEntry *entry);

#endif
