/**
 * Refuses a sealed message that was taken before: for each sender the highest sequence number and
 * which of the numbers shortly below it were seen.
 */
#ifndef RPC_REPLAY_H
#define RPC_REPLAY_H

#include <stdbool.h>
#include <stdint.h>

#define RPC_REPLAY_SENDERS_MAX 2048 /**< the longest unheard sender is forgotten beyond this */

typedef struct RpcReplay RpcReplay;

RpcReplay *rpc_replay_new (void);
void rpc_replay_free (RpcReplay *replay);
/** True the first time that (sender, sequence) is shown; false for a repeat and for a number more
 *  than 64 below the sender's highest. Not thread-safe. */
bool rpc_replay_accept (RpcReplay *replay, uint64_t sender, uint64_t sequence);

#endif
