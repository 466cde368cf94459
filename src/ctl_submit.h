/**
 * Submission of patches, and evaluation of the answers.
 */
#ifndef CTL_SUBMIT_H
#define CTL_SUBMIT_H

#include "ctl_http.h"

#define CTL_PATH_SIZE 128 /**< bytes */

/** Version that a change is made against: number and document. Number 0: there is none yet. */
typedef struct
{
  int64_t number;
  struct json_object *text; /**< NULL with number 0 */
} CtlHead;

/** Reads the version that a change is made against: args->base if given, else the newest. */
CtlExit ctl_head_read (const Ctl *ctl, const CtlArgs *args, CtlHead *head);
void ctl_head_clear (CtlHead *head);

/** Submits a merge patch against a number and prints the result. */
CtlExit ctl_submit (const Ctl *ctl, const CtlArgs *args, int64_t base, struct json_object *patch);

/**
 * Builds the patch for the document of head. CTL_DONE with *patch NULL: no change is needed, which
 * the function has reported to the user.
 */
typedef CtlExit (*CtlPatchBuilder) (const CtlArgs *args,
                                    const CtlHead *head,
                                    struct json_object **patch);

/** Builds a patch against the newest version and submits it. If another patch is accepted first and
 *  --base was not given, retries a few times against the new document. Without --reason the reason
 * is the command with its first operand. */
CtlExit
ctl_submit_built (const Ctl *ctl, const CtlArgs *args, const char *command, CtlPatchBuilder build);

/**
 * After a conflict, whether the accepted change is that of this command: a steward called earlier
 * may have submitted it although its answer was lost. Since each number has exactly one change, the
 * given member of version base + 1 (its patch, or the text of version 1) is compared with change.
 * Prints a message if they are equal.
 */
bool ctl_submit_was_applied (const Ctl *ctl,
                             const CtlAnswer *answer,
                             int64_t base,
                             const char *member,
                             struct json_object *change);

/** Nested member at a NULL-terminated path of names; NULL if absent. Borrowed. */
struct json_object *ctl_member_at (struct json_object *value, const char *const *names);
/** New object that contains only value, at a NULL-terminated path of names; takes ownership of
 * value. */
struct json_object *ctl_nested (const char *const *names, struct json_object *value);
/** Writes the URL path of a submission, including what to wait for. */
void ctl_submit_path (const CtlArgs *args, const char *collection, char out[CTL_PATH_SIZE]);
/** Prints the result of a submission that was answered with 200 and returns its exit status. */
CtlExit ctl_submit_result (const Ctl *ctl, struct json_object *body);

#endif
