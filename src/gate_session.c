#include "gate_session.h"
#include "gate_run.h"
#include <stdio.h>
#include <string.h>

#define STEP "request.session"

bool
gate_session_read (GateRequest *r)
{
  if (r->session[0] == '\0')
    return true;
  if (session_is_token (r->session))
    {
      if (session_open (r->gate->session_key, gate_request_team (r)->name, r->session,
                        r->session_version))
        return true;
      refusal_set (&r->refusal, REFUSAL_BAD_SESSION, REQUEST_NOT_RUN, STEP, NULL);
      return false;
    }
  if (strlen (r->session) > REQUEST_SESSION_MAX || strchr (r->session, '/') != NULL)
    {
      refusal_set (&r->refusal, REFUSAL_BAD_SESSION, REQUEST_NOT_RUN, STEP,
                   "a session's name has at most %d bytes and no '/'", REQUEST_SESSION_MAX);
      return false;
    }
  r->session_named = true;
  session_named_find (r->gate->sessions, gate_request_team (r)->name, r->session,
                      r->session_version);
  return true;
}

/*
 * The row is written before anything is sent. If it were written after the answer and the table
 * service failed then, the session would have started on a version that is recorded nowhere. If
 * another request of the session has written the row meanwhile, that row applies.
 */
bool
gate_session_bind (GateRequest *r, unsigned version)
{
  Status st = { 0 };

  config_label (r->snapshot->config, version, r->session_version);
  if (session_named_start (r->gate->sessions, gate_request_team (r)->name, r->session,
                           r->session_version, &st)
      == STATUS_OK)
    return true;
  refusal_set (&r->refusal, REFUSAL_SESSION_UNAVAILABLE, REQUEST_NOT_RUN, STEP, "%s: %s",
               refusal_text (REFUSAL_SESSION_UNAVAILABLE), st.message);
  return false;
}

void
gate_session_value (const GateRequest *r, unsigned version, char out[SESSION_TOKEN_MAX])
{
  char name[BILL_NAME_MAX];

  if (r->session_named)
    {
      snprintf (out, SESSION_TOKEN_MAX, "%s", r->session);
      return;
    }
  config_label (r->snapshot->config, version, name);
  session_seal (r->gate->session_key, gate_request_team (r)->name, name, out);
}
