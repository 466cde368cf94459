#include "rpc_socket.h"
#include "rpc_server.h"
#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 64
#define BIND_ATTEMPTS  16 /* a free UDP port may be in use for TCP */

static int
bind_socket (const char *address, int port, int type)
{
  struct sockaddr_in local;
  int one = 1;
  int fd;

  errno = EINVAL;
  if (!rpc_address (address, port, &local))
    return -1;
  fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  if (type == SOCK_STREAM)
    (void)setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (const struct sockaddr *)&local, sizeof local) != 0)
    {
      int saved = errno;

      (void)close (fd);
      errno = saved;
      return -1;
    }
  return fd;
}

int
rpc_socket_bind_pair (const char *address, int port, int *stream_fd)
{
  int attempts = port == 0 ? BIND_ATTEMPTS : 1;
  int datagram_fd;

  while (attempts-- > 0)
    {
      datagram_fd = bind_socket (address, port, SOCK_DGRAM);
      if (datagram_fd < 0)
        return -1;
      *stream_fd = bind_socket (address, rpc_socket_port (datagram_fd), SOCK_STREAM);
      if (*stream_fd >= 0 && listen (*stream_fd, LISTEN_BACKLOG) == 0)
        return datagram_fd;
      if (*stream_fd >= 0)
        (void)close (*stream_fd);
      (void)close (datagram_fd);
    }
  return -1;
}

int
rpc_socket_port (int fd)
{
  struct sockaddr_in local = { 0 };
  socklen_t len = sizeof local;

  (void)getsockname (fd, (struct sockaddr *)&local, &len);
  return ntohs (local.sin_port);
}
