/**
 * Regression bounds of the policies, quick enough for CI.
 */
#ifndef MODEL_CHECK_H
#define MODEL_CHECK_H

/** Runs and prints all checks, with one seed; returns the number that failed. */
unsigned model_check (void);

#endif
