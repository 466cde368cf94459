/**
 * Changes of the view row. Each function works out the row's next value from the one read; the
 * caller writes it by one transaction: CHECK of the view row's version, CHECK of the head row's
 * version (both as read), PUT of the view row. The head number given is that of the head row read;
 * one older than row->head gives false: read both again.
 * A lost reply is settled by reading the row back.
 */
#ifndef CLUSTER_VIEW_H
#define CLUSTER_VIEW_H

#include "cluster_state.h"
#include "util_check.h"

/** Members needed for a majority of count. */
size_t cluster_majority (size_t count);

/** Index of the member of that incarnation, or -1. */
int cluster_view_find (const ClusterView *view, uint64_t incarnation);
/** Index of the member at that address and port, or -1. */
int cluster_view_find_slot (const ClusterView *view, const char *address, int port);

/** Registers self: takes over the slot of the same address and port, or adds one. row->number 0 (no
 *  row yet) gives the first view, established. False if self is registered already or there is no
 *  room. */
bool cluster_view_register (const ClusterView *row,
                            const ClusterMember *self,
                            int64_t head,
                            ClusterView *out);

/** Removes members that are proved dead: those that left (cluster_state_leave) or that the
 *  platform's list has not shown for longer than its lag. False if none of them is in the view. */
bool cluster_view_remove (const ClusterView *row,
                          const uint64_t *incarnations,
                          size_t count,
                          int64_t head,
                          ClusterView *out);

/** Members of `previous` that know the pending view or are proved dead, and how many are needed. */
size_t cluster_view_confirmed (const ClusterView *row, const ClusterState *s, size_t *needed);

/** Establishes a pending view. False if it is established already, empty, or not settled yet. */
bool cluster_view_establish (const ClusterView *row,
                             const ClusterState *s,
                             int64_t head,
                             ClusterView *out);

/** The row's JSON text; freed with free. */
char *cluster_view_text (const ClusterView *view);
/** Reads a row's text; all errors go to list. */
bool cluster_view_parse (const char *text, ClusterView *out, CheckList *list);

#endif
