/**
 * Types that the cluster protocol's modules share. The stewards, one on each VM, agree on the
 * newest configuration number, on the membership view and on brakes. The modules do no I/O and read
 * no clock: times are milliseconds of the caller's boot-time clock. See
 * docs/design/configuration.md.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CLUSTER_MEMBERS_MAX 512
#define CLUSTER_NAME_MAX    32 /**< bytes; for names of VMs and failure domains including the NUL */
#define CLUSTER_ADDRESS_MAX 48 /**< bytes, including the NUL */

/** A time before all others: the event has not happened or its time is not known. */
#define CLUSTER_NEVER INT64_MIN

/**
 * One registered steward. An incarnation is one run of the process. The slot is the address and
 * port: a process that restarts there replaces the earlier incarnation in its slot.
 */
typedef struct
{
  char vm[CLUSTER_NAME_MAX];
  char address[CLUSTER_ADDRESS_MAX]; /**< IP address of the steward's RPC endpoint */
  int port;
  char failure_domain[CLUSTER_NAME_MAX];
  uint64_t incarnation; /**< random, chosen at process start; never 0 */
} ClusterMember;

/**
 * The membership view, as stored in the view row of the table service. A view is *established*, or
 * *pending* until a majority of the members of the last established view (previous) are known to
 * have seen it or are proved dead.
 */
typedef struct
{
  int64_t number; /**< incremented by each write of the row; 0: no view yet */
  int64_t head;   /**< newest durable configuration number at the time of the write */
  bool established;
  size_t count;
  ClusterMember members[CLUSTER_MEMBERS_MAX];
  size_t previous_count;                  /**< 0 when established */
  uint64_t previous[CLUSTER_MEMBERS_MAX]; /**< incarnations of the last established members */
} ClusterView;

#endif
