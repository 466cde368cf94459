/**
 * Changes of the membership view. Each function computes the view row's next value from the one
 * read. The caller writes it by one transaction: CHECK of the view row's version, CHECK of the head
 * row's version (both as read), PUT of the view row. `head` is the number of the head row read; the
 * functions return false if it is older than row->head, and both rows have to be read again. If the
 * reply is lost, reading the row shows whether the write took effect.
 */
#ifndef CLUSTER_VIEW_H
#define CLUSTER_VIEW_H

#include "cluster_state.h"
#include "util_check.h"

/** Number of members that make a majority of count. */
size_t cluster_majority (size_t count);

/** Index of the member of that incarnation, or -1. */
int cluster_view_find (const ClusterView *view, uint64_t incarnation);
/** Index of the member at that address and port, or -1. */
int cluster_view_find_slot (const ClusterView *view, const char *address, int port);

/** Registers self in the slot of its address and port, replacing the incarnation there, or in a new
 *  slot. With row->number 0 (no row yet) the result is the first view, which is established. False
 *  if self is registered already or the view is full. */
bool cluster_view_register (const ClusterView *row,
                            const ClusterMember *self,
                            int64_t head,
                            ClusterView *out);

/** Removes members that are proved dead: they left (cluster_state_leave), or the platform's list of
 *  VMs has not contained them for longer than its lag. False if none of them is in the view. */
bool cluster_view_remove (const ClusterView *row,
                          const uint64_t *incarnations,
                          size_t count,
                          int64_t head,
                          ClusterView *out);

/** Returns how many members of `previous` have seen the pending view or are proved dead;
 *  *needed receives how many must. */
size_t cluster_view_confirmed (const ClusterView *row, const ClusterState *s, size_t *needed);

/** Establishes a pending view. False if it is established already, empty, or not yet confirmed by
 *  enough previous members (cluster_view_confirmed). */
bool cluster_view_establish (const ClusterView *row,
                             const ClusterState *s,
                             int64_t head,
                             ClusterView *out);

/** The row's JSON text; freed with free. */
char *cluster_view_text (const ClusterView *view);
/** Parses a row's text; errors are added to list. */
bool cluster_view_parse (const char *text, ClusterView *out, CheckList *list);

#endif
