/**
 * The thread that reads and writes the table service: the head, documents, the view of members,
 * acceptance, brakes, the audit trail, and usage records of gates that are gone.
 */
#ifndef STEWARD_TABLE_H
#define STEWARD_TABLE_H

#include "steward.h"

StewardTable *steward_table_start (Steward *s);
void steward_table_stop (StewardTable *t);
/** Something newer was heard of, or a majority may have been reached. */
void steward_table_wake (StewardTable *t);
/** This number was just made durable here: have it accepted without delay. */
void steward_table_accept_soon (StewardTable *t, int64_t number);
/** Time between reads of the head row: with many members it grows, so that all together stay within
 *  a fixed share of the reads that the service gives. */
int64_t steward_table_poll_interval_ms (int64_t poll_ms, size_t members);

#endif
