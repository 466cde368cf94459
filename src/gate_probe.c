#include "gate_probe.h"
#include <errno.h>
#include <netdb.h>
#include <poll.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORT_SIZE 8 /* bytes of a port in text, with the final NUL */

/* Error of a connection attempt in progress; 0 if it succeeded or did not finish in time. */
static int
connect_error (int fd, int timeout_ms)
{
  struct pollfd ready = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t len = sizeof (error);

  if (poll (&ready, 1, timeout_ms) != 1)
    return 0;
  return getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 ? error : 0;
}

static bool
is_refused (const struct addrinfo *to, int timeout_ms)
{
  int fd = socket (to->ai_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int error = 0;

  if (fd < 0)
    return false;
  if (connect (fd, to->ai_addr, to->ai_addrlen) != 0)
    error = errno == EINPROGRESS ? connect_error (fd, timeout_ms) : errno;
  close (fd);
  return error == ECONNREFUSED;
}

bool
gate_probe_refused (const char *address, int port, int timeout_ms)
{
  struct addrinfo hints
      = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV, .ai_socktype = SOCK_STREAM };
  struct addrinfo *to;
  char port_text[PORT_SIZE];
  bool refused;

  snprintf (port_text, sizeof (port_text), "%d", port);
  if (getaddrinfo (address, port_text, &hints, &to) != 0)
    return false;
  refused = is_refused (to, timeout_ms);
  freeaddrinfo (to);
  return refused;
}
