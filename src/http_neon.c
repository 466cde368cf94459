#include "http_neon.h"
#include <ne_socket.h>
#include <pthread.h>

static void
start_once (void)
{
  ne_sock_init ();
}

void
http_neon_start (void)
{
  static pthread_once_t once = PTHREAD_ONCE_INIT;

  pthread_once (&once, start_once);
}

int
http_neon_seconds (int ms)
{
  return ms <= 1000 ? 1 : (ms + 999) / 1000;
}
