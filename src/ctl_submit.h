/**
 * Submission of patches, and what its answer means.
 */
#ifndef CTL_SUBMIT_H
#define CTL_SUBMIT_H

#include "ctl_http.h"

#define CTL_PATH_SIZE 128

/** The newest version: its number and document. number 0: there is none yet. */
typedef struct
{
  int64_t number;
  struct json_object *text; /**< NULL with number 0 */
} CtlHead;

/** Reads the version behind which a change is made: the newest, or args->base if that was given. */
CtlExit ctl_head_read (const Ctl *ctl, const CtlArgs *args, CtlHead *head);
void ctl_head_clear (CtlHead *head);

/** Submits a merge patch against a number and prints the result. */
CtlExit ctl_submit (const Ctl *ctl, const CtlArgs *args, int64_t base, struct json_object *patch);

/**
 * Makes the patch for a document. *patch NULL with CTL_DONE: nothing is left to do, and the maker
 * has said so.
 */
typedef CtlExit (*CtlPatchBuilder) (const CtlArgs *args,
                                    const CtlHead *head,
                                    struct json_object **patch);

/** Makes a patch against the newest version and submits it; when another patch comes between and no
 *  --base was given, makes it again against the new document, a few times. Without --reason the
 *  reason is command and the command's first word. */
CtlExit
ctl_submit_built (const Ctl *ctl, const CtlArgs *args, const char *command, CtlPatchBuilder maker);

/**
 * Whether a change that lost the race is ours after all: an earlier steward took it and its answer
 * was lost. The version behind base tells, since a number has one change: its member (the patch, or
 * the text of number 1) is compared with change. Prints what was found if it is ours.
 */
bool ctl_submit_was_applied (const Ctl *ctl,
                             const CtlAnswer *answer,
                             int64_t base,
                             const char *member,
                             struct json_object *change);

/** The member at a path of names ended by NULL, or NULL; borrowed. */
struct json_object *ctl_member_at (struct json_object *value, const char *const *names);
/** An object with nothing but value, which is taken over, at the path. */
struct json_object *ctl_nested (const char *const *names, struct json_object *value);
/** Path of a submission with what to wait for. */
void ctl_submit_path (const CtlArgs *args, const char *collection, char out[CTL_PATH_SIZE]);
/** Prints the 200 answer of a submission and returns the exit status for it. */
CtlExit ctl_submit_result (const Ctl *ctl, struct json_object *body);

#endif
