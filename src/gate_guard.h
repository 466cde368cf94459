/**
 * The last check before a request runs, made immediately before its last byte is sent. If the
 * check fails that byte is withheld, and a backend server cannot run a request whose body is
 * incomplete. See docs/design/requests.md.
 */
#ifndef GATE_GUARD_H
#define GATE_GUARD_H

#include "gate_attempt.h"

/** Callback for HttpRequest.may_finish; context is the GateAttempt. True: the last byte may be
 * sent. False: the reason is in the attempt's guard_reason. */
bool gate_guard (void *context);

#endif
