/**
 * The sockets of the RPC server.
 */
#ifndef RPC_SOCKET_H
#define RPC_SOCKET_H

/** Binds a UDP and a TCP socket to the same port; port 0 selects one that is free for both. Returns
 *  the UDP socket and sets *stream_fd to the listening TCP socket, which the caller closes; -1 with
 *  errno on failure. */
int rpc_socket_bind_pair (const char *address, int port, int *stream_fd);

/** Port that the socket is bound to. */
int rpc_socket_port (int fd);

#endif
