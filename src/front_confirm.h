/**
 * Up to when the rows of a table are known to be complete here. The store's answers show it to the
 * front that asked, which tells others. No I/O.
 */
#ifndef FRONT_CONFIRM_H
#define FRONT_CONFIRM_H

#include <stdint.h>

/** What an answer of the store showed. */
typedef struct
{
  int64_t at_ms;  /**< when the store gave it, by the clock of whoever keeps this */
  int64_t newest; /**< version of the table's newest change then */
} Confirmation;

/** Confirmations of others that are kept until the changes that they tell of are known here. */
#define CONFIRM_WAITING_MAX 2

typedef struct
{
  int64_t at_ms; /**< all changes that were made before are known here; 0: never confirmed */
  unsigned waiting_count;
  Confirmation waiting[CONFIRM_WAITING_MAX]; /**< the earliest first */
} FrontConfirm;

/** The table is complete as of this time. */
void front_confirm_note (FrontConfirm *confirm, int64_t at_ms);
/** Another front has told what it was shown. version: up to which the table is known here. */
void front_confirm_told (FrontConfirm *confirm, const Confirmation *told, int64_t version);
/** The table has become known up to this version. */
void front_confirm_applied (FrontConfirm *confirm, int64_t version);

/** Fronts ask the store themselves when nobody has confirmed a table for this share of the time
 * within which a change must be known: those first that others depend on, so that their answers
 * spare the others' calls. The rest of the time is for the call. */
#define CONFIRM_SHARE      0.70
#define CONFIRM_STEP_SHARE 0.05
#define CONFIRM_STEPS_MAX  2
/** level: fronts between this one and the first ones of its failure domain. */
double front_confirm_limit_ms (double apply_ms, unsigned level);

#endif
