/**
 * Sessions bind a caller to a version: either by a sealed token, or by a name that the caller
 * chooses and that is stored in a table row.
 */
#ifndef GATE_SESSION_H
#define GATE_SESSION_H

#include "gate_request.h"

/** Sets r->session_version to the version that the request's session is bound to, if any. False:
 * r->refusal says why not. */
bool gate_session_read (GateRequest *r);
/** Binds a caller-named session that has no row yet to a version, before its first request is sent.
 * r->session_version is then the bound version, which another request of the session may have
 * chosen. False: r->refusal says why not. */
bool gate_session_bind (GateRequest *r, unsigned version);
/** Writes the value of the response header X-Lovage-Session to out. */
void gate_session_value (const GateRequest *r, unsigned version, char out[SESSION_TOKEN_MAX]);

#endif
