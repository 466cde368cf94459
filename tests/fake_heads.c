#include "fake_heads.h"
#include "suite.h"
#include <string.h>

#define SIGNED "Lovagehub-Request-Id: q1\r\nLovagehub-Server-Signature: s\r\n"

static const char *const heads[] = {
  "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
  "HTTP/1.0 200 OK\r\n" SIGNED "\r\n",
  "HTTP/1.1 204 No Content\r\n" SIGNED "\r\n",
  "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
};

const char fake_heads_whole[]
    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\n{}";

typedef struct
{
  FakeServer *server; /* NULL: none is needed */
  FakeHeadsCheck check;
} Each;

static void
check_cut (const FakeAnswer *cut, const Each *each)
{
  if (each->server)
    fake_server_answer (each->server, cut);
  each->check (each->server, cut);
}

static void
each_cut (const Each *each)
{
  for (size_t i = 0; i < SUITE_COUNT (heads); i++)
    {
      for (size_t len = 1; len < strlen (heads[i]); len++)
        {
          check_cut (&(FakeAnswer){ .text = heads[i], .len = len }, each);
          check_cut (&(FakeAnswer){ .text = heads[i], .len = len, .reset = true }, each);
        }
    }
}

void
fake_heads_each (FakeHeadsCheck check)
{
  Each each = { .server = fake_server_new (&(FakeAnswer){ 0 }), .check = check };

  each_cut (&each);
  fake_server_free (each.server);
}

void
fake_heads_each_without_server (FakeHeadsCheck check)
{
  each_cut (&(Each){ .check = check });
}
