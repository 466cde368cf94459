#include "fake_steward.h"
#include "suite.h"
#include "util_assert.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

static enum MHD_Result
add_argument (void *context, enum MHD_ValueKind kind, const char *name, const char *value)
{
  Buffer *line = context;

  (void)kind;
  buffer_printf (line, "%c%s=%s", memchr (line->data, '?', line->len) == NULL ? '?' : '&', name,
                 value);
  return MHD_YES;
}

static FakeReply
log_request (FakeSteward *steward,
             struct MHD_Connection *connection,
             const char *method,
             const char *url,
             const Buffer *body)
{
  FakeReply reply = { 500, "{}" };
  Buffer line = { 0 };

  buffer_printf (&line, "%s %s", method, url);
  MHD_get_connection_values (connection, MHD_GET_ARGUMENT_KIND, add_argument, &line);
  pthread_mutex_lock (&steward->lock);
  buffer_printf (&steward->log, "%s %s\n", line.data, body->data == NULL ? "" : body->data);
  if (steward->next < FAKE_REPLIES_MAX && steward->replies[steward->next].body != NULL)
    reply = steward->replies[steward->next++];
  pthread_mutex_unlock (&steward->lock);
  buffer_free (&line);
  return reply;
}

static enum MHD_Result
answer (void *context,
        struct MHD_Connection *connection,
        const char *url,
        const char *method,
        const char *version,
        const char *data,
        size_t *size,
        void **state)
{
  Buffer *body = *state;
  struct MHD_Response *response;
  FakeReply reply;
  enum MHD_Result queued;

  (void)version;
  if (body == NULL)
    {
      *state = memory_alloc (sizeof (Buffer));
      return MHD_YES;
    }
  if (*size > 0)
    {
      buffer_add (body, data, *size);
      *size = 0;
      return MHD_YES;
    }
  reply = log_request (context, connection, method, url, body);
  if (reply.status == 0)
    return MHD_NO;
  response = MHD_create_response_from_buffer (strlen (reply.body), (void *)(uintptr_t)reply.body,
                                              MHD_RESPMEM_PERSISTENT);
  queued = MHD_queue_response (connection, reply.status, response);
  MHD_destroy_response (response);
  return queued;
}

static void
completed (void *context,
           struct MHD_Connection *connection,
           void **state,
           enum MHD_RequestTerminationCode why)
{
  (void)context;
  (void)connection;
  (void)why;
  if (*state == NULL)
    return;
  buffer_free (*state);
  free (*state);
  *state = NULL;
}

void
fake_steward_start (FakeSteward *steward, const FakeReply *replies)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  *steward = (FakeSteward){ .port = suite_free_port (), .lock = PTHREAD_MUTEX_INITIALIZER };
  for (size_t i = 0; i < FAKE_REPLIES_MAX && replies[i].body != NULL; i++)
    steward->replies[i] = replies[i];
  at.sin_port = htons ((uint16_t)steward->port);
  steward->daemon = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, (uint16_t)steward->port,
                                      NULL, NULL, answer, steward, MHD_OPTION_SOCK_ADDR, &at,
                                      MHD_OPTION_NOTIFY_COMPLETED, completed, NULL, MHD_OPTION_END);
  INVARIANT (steward->daemon != NULL, "port=\"%d\"", steward->port);
}

void
fake_steward_stop (FakeSteward *steward)
{
  MHD_stop_daemon (steward->daemon);
  steward->daemon = NULL;
}

void
fake_steward_add (Ctl *ctl, int port)
{
  CtlSteward *steward = &ctl->stewards[ctl->steward_count++];

  strcpy (steward->address, "127.0.0.1");
  steward->port = port;
}

void
fake_steward_expect (FakeCommand command,
                     const CtlArgs *args,
                     const FakeReply *replies,
                     CtlExit expected,
                     const char *log)
{
  FakeSteward steward;
  Ctl ctl = { 0 };

  fake_steward_start (&steward, replies);
  fake_steward_add (&ctl, steward.port);
  CU_ASSERT_EQUAL (command (&ctl, args), expected);
  fake_steward_stop (&steward);
  CU_ASSERT_STRING_EQUAL (steward.log.data == NULL ? "" : steward.log.data, log);
  buffer_free (&steward.log);
}
