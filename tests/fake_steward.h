/**
 * An operators' API that answers with scripted replies and logs its requests.
 */
#ifndef FAKE_STEWARD_H
#define FAKE_STEWARD_H

#include "ctl.h"
#include "util_buffer.h"
#include <microhttpd.h>
#include <pthread.h>
#include <stddef.h>

#define FAKE_REPLIES_MAX 12

/* Replies and log lines that several tests use. */
#define FAKE_ACCEPTED         "{\"number\":8,\"state\":\"in_force\",\"members_in_force\":3,\"members\":3}"
#define FAKE_GET_HEAD(number) "GET /v1/versions?limit=1 \nGET /v1/versions/" number " \n"

typedef struct
{
  unsigned status; /**< 0: the connection is closed without an answer to the request */
  const char *body;
} FakeReply;

typedef struct
{
  struct MHD_Daemon *daemon;
  int port;
  FakeReply replies[FAKE_REPLIES_MAX]; /**< sent in order; after the last one, 500 */
  size_t next;
  pthread_mutex_t lock;
  Buffer log; /**< one line per request: "METHOD URL[?QUERY] BODY" */
} FakeSteward;

/** Starts on a free port of 127.0.0.1; the list of replies ends with a NULL body. */
void fake_steward_start (FakeSteward *steward, const FakeReply *replies);
/** Stops it; the log stays until it is freed with buffer_free. */
void fake_steward_stop (FakeSteward *steward);
/** Adds it as the last of the stewards that are tried. */
void fake_steward_add (Ctl *ctl, int port);

typedef CtlExit (*FakeCommand) (Ctl *ctl, const CtlArgs *args);

/** Runs a command against one steward; asserts its exit status and the requests that the steward
 * got. */
void fake_steward_expect (FakeCommand command,
                          const CtlArgs *args,
                          const FakeReply *replies,
                          CtlExit expected,
                          const char *log);

#endif
