/**
 * Randomised simulation of the cluster protocol, repeatable by its seed. It runs the product's own
 * cluster_*.c under a virtual clock, with a table service that loses replies and applies writes
 * late, messages that are lost, delayed, duplicated and reordered, paused processes, restarts,
 * replaced VMs, partitions and concurrent patches. There are no sockets, threads or files. Phases
 * with faults alternate with fault-free ones, and an oracle checks the protocol's guarantees
 * throughout.
 */
#ifndef STEPS_H
#define STEPS_H

#include "cluster_grant.h"
#include "cluster_state.h"
#include <gsl/gsl_rng.h>

#define STEPS_SLOTS       12        /**< addresses at which a VM can be */
#define STEPS_PORT        7000      /**< of slot 0 */
#define STEPS_MESSAGES    128       /**< in transit at once */
#define STEPS_OPS         32        /**< table operations in flight at once */
#define STEPS_GRANT_MS    2000      /**< duration of a grant */
#define STEPS_LIST_LAG_MS 3000      /**< the platform's list contains a lost VM at most that long */
#define STEPS_NUMBERS_MAX (1 << 20) /**< configuration numbers in one run */

/** Conditions of the network and the table service. Rates are per 1,000. */
typedef struct
{
  unsigned long loss;        /**< rate of lost messages */
  unsigned long duplication; /**< rate of messages delivered twice */
  int64_t delay_max;         /**< of a message or a table operation, ms */
  unsigned long op_loss;     /**< rate of lost table operations, and of lost replies */
  bool table_up;
  unsigned partition[STEPS_SLOTS]; /**< 0 or 1 by slot: equal ones reach each other */
  bool table_reachable[2];         /**< by partition */
} StepsConditions;

typedef enum
{
  STEPS_READ,   /**< reads the head row and the view row */
  STEPS_SUBMIT, /**< CHECK head; the head's number rises by one */
  STEPS_ACCEPT, /**< CHECK view, CHECK head; accepted = number */
  STEPS_VIEW    /**< CHECK view, CHECK head; the view row becomes view */
} StepsOpKind;

/** Result of a read of both rows. */
typedef struct
{
  int64_t head;
  int64_t accepted;
  int64_t head_version;
  int64_t view_version;
  ClusterView view;
} StepsRows;

/** A table operation, from its send to its reply. */
typedef struct
{
  bool used;
  StepsOpKind kind;
  unsigned slot;
  uint64_t incarnation; /**< of the sender: a reply to a process that has ended is dropped */
  int64_t sent_at;      /**< sender's clock */
  int64_t arrives_at;   /**< true time at which it takes effect */
  int64_t answered_at;  /**< true time at which the reply arrives */
  bool lost;            /**< never takes effect */
  bool answer_lost;
  bool arrived; /**< its time of effect has passed, also if lost */
  bool committed;
  int64_t number; /**< to ACCEPT, or the result of SUBMIT */
  StepsRows rows; /**< versions checked and view written, or the result of a read */
} StepsOp;

typedef struct
{
  bool used;
  bool is_answer;
  unsigned from;
  unsigned to;
  int64_t due; /**< true time */
  ClusterHeartbeat heartbeat;
} StepsMessage;

/** A VM, its steward and the grant of its gate. */
typedef struct
{
  bool up;
  int64_t lost_at;      /**< true time, if not up */
  int64_t clock_offset; /**< ms */
  int64_t clock_rate;   /**< parts per million by which its clock is fast */
  int64_t frozen_until; /**< true time */
  ClusterState *state;  /**< NULL: the steward is down */
  bool op_in_flight;
  bool has_rows;
  StepsRows rows;     /**< as last read */
  int64_t gate_until; /**< on the VM's clock */
  int64_t gate_number;
  int64_t last_number; /**< of this steward, at the oracle's last check */
  int64_t last_accepted;
} StepsVm;

/** Counts of events, so that a test can check that the run exercised the protocol. */
typedef struct
{
  int64_t steps;
  int64_t violations;
  int64_t patches;
  int64_t acceptances;
  int64_t views;
  int64_t established;
  int64_t restarts;
  int64_t vms_lost;
  int64_t members_left; /**< stewards that began a graceful stop */
  int64_t freezes;
  int64_t condition_changes;
  int64_t grants_by_table;
  int64_t grants_by_peers;
  int64_t refusals;   /**< of a grant */
  int64_t recoveries; /**< fault-free phases checked */
} StepsCounts;

typedef struct
{
  gsl_rng *rng;
  int64_t now; /**< true time, ms */
  StepsConditions conditions;
  StepsRows table;
  int64_t *accepted_at; /**< by number: true time at which accepted reached it; 0: not yet */
  StepsVm vms[STEPS_SLOTS];
  StepsOp ops[STEPS_OPS];
  StepsMessage messages[STEPS_MESSAGES];
  uint64_t next_incarnation;
  StepsCounts counts;
  const struct StepsFaultMix *fault_mix;
  bool fault_free; /**< no faults and no patches: all VMs must agree at the end */
} StepsSite;

/** Runs that many steps; violations are counted, and the first ones printed to standard error. */
StepsCounts steps_run (unsigned long seed, int64_t steps);

/* steps_table.c */
void steps_table_send (StepsSite *site, unsigned slot, StepsOp *op);
StepsOp *steps_table_free_op (StepsSite *site);
void steps_table_step (StepsSite *site);

/* steps_network.c */
bool steps_reaches (const StepsSite *site, unsigned from, unsigned to);
void steps_send (StepsSite *site,
                 unsigned from,
                 unsigned to,
                 bool is_answer,
                 const ClusterHeartbeat *heartbeat);
void steps_deliver (StepsSite *site);

/* steps_steward.c */
void steps_steward_start (StepsSite *site, unsigned slot);
void steps_steward_stop (StepsSite *site, unsigned slot);
void steps_steward_act (StepsSite *site, unsigned slot);
void steps_steward_submit (StepsSite *site, unsigned slot);
void steps_steward_op_done (StepsSite *site, const StepsOp *op);
/** The VM's clock, ms. */
int64_t steps_clock (const StepsSite *site, unsigned slot);
/** True if the VM's steward is up and not frozen. */
bool steps_is_running (const StepsSite *site, unsigned slot);

/* steps_fault.c */
/** Begins a phase with a random mix of faults. */
void steps_faults_begin (StepsSite *site);
/** In a phase with faults, sometimes injects one of its mix. */
void steps_fault (StepsSite *site);
/** Begins a fault-free phase. */
void steps_recovery_begin (StepsSite *site);

/* steps_oracle.c */
/** Checks what must hold for the VM at any time. */
void steps_oracle_check (StepsSite *site, unsigned slot);
/** Checks that all VMs agree after a fault-free phase. */
void steps_oracle_check_recovered (StepsSite *site);

/** A random number below n. */
unsigned long steps_random (StepsSite *site, unsigned long n);

#endif
