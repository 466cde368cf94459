/**
 * One request on its way to one backend server: a connection of its own, so that no earlier
 * answer's late bytes and no idle connection that the server is closing can get in its way.
 */
#ifndef FRONT_ATTEMPT_H
#define FRONT_ATTEMPT_H

#include "front.h"
#include "http_reply.h"

typedef struct FrontAttempt FrontAttempt;

/** Milliseconds for a connection. A server in reach opens one within about 5; one lost packet costs
 * it a second, after which another server is the better choice. */
#define FRONT_CONNECT_TIMEOUT_MS 350

/** Called from the event loop; each may free the attempt, and nothing is called after that. */
typedef struct
{
  /** The connection is open; the request is being sent and may run from here on. */
  void (*sent) (void *user);
  /** More of the answer has come, or it is whole. */
  void (*progress) (void *user);
  /** The connection ended before the answer was whole, or what came is no answer. */
  void (*cut) (void *user);
} AttemptCallbacks;

/** Takes head's bytes; body is borrowed until the attempt is freed. NULL if no connection can be
 *  begun. */
FrontAttempt *front_attempt_start (Front *front,
                                   FrontServer *server,
                                   Buffer *head,
                                   const Buffer *body,
                                   const AttemptCallbacks *callbacks,
                                   void *user);
/** Ends the connection at once; a server stops work on a request whose connection is gone. */
void front_attempt_free (FrontAttempt *attempt);
HttpReply *front_attempt_reply (FrontAttempt *attempt);
/** True once bytes of the request may have reached the server. */
bool front_attempt_is_sent (const FrontAttempt *attempt);
/** Stops or goes on reading, while the caller doesn't take what has come. */
void front_attempt_pause (FrontAttempt *attempt, bool pause);

#endif
