/**
 * Replay protection for sealed messages: keeps for each sender the highest sequence number and
 * which of the numbers just below it were received.
 */
#ifndef RPC_REPLAY_H
#define RPC_REPLAY_H

#include <stdbool.h>
#include <stdint.h>

/** Senders remembered; beyond this, the least recently active sender of a bucket is evicted. */
#define RPC_REPLAY_SENDERS_MAX 2048

typedef struct RpcReplay RpcReplay;

RpcReplay *rpc_replay_new (void);
void rpc_replay_free (RpcReplay *replay);
/** Records a message. True for a new sequence number of the sender; false for a repeat, for 0, and
 * for a number 64 or more below the sender's highest. Not thread-safe. */
bool rpc_replay_accept (RpcReplay *replay, uint64_t sender, uint64_t sequence);

#endif
