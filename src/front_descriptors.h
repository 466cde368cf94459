/**
 * Divides the descriptors that the process may have open, so that no kind of connection takes those
 * of another. No I/O.
 */
#ifndef FRONT_DESCRIPTORS_H
#define FRONT_DESCRIPTORS_H

#include <stdint.h>

typedef struct
{
  unsigned callers;  /**< connections of callers, each with one to a backend server */
  unsigned handoffs; /**< the same of other fronts that hand over requests */
  unsigned copies;   /**< connections for copies of requests whose answers are late */
  unsigned kept;     /**< idle connections to backend servers */
  unsigned control;  /**< connections to the control address */
  unsigned ready;    /**< connections of health checks */
} FrontDescriptors;

/** all: that the process may have open; 0: not known. */
FrontDescriptors front_descriptors_divide (int64_t all);

#endif
