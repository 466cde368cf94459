/**
 * The thread that reads and writes the table service: the head, documents, the view of members,
 * acceptance, brakes, the audit trail, and usage records of gates that no longer run.
 */
#ifndef STEWARD_TABLE_H
#define STEWARD_TABLE_H

#include "steward.h"

StewardTable *steward_table_start (Steward *s);
void steward_table_stop (StewardTable *t);
/** To be called when a newer number or view was reported, or when a majority may have been
 * reached. */
void steward_table_wake (StewardTable *t);
/** Requests the acceptance without delay of a number that was just made durable here. */
void steward_table_accept_soon (StewardTable *t, int64_t number);
/** Interval between reads of the head row. It grows with the number of members, so that all
 * together stay within a fixed share of the reads that the service can serve. */
int64_t steward_table_poll_interval_ms (int64_t poll_ms, size_t members);

#endif
