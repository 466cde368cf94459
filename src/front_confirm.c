#include "front_confirm.h"

void
front_confirm_note (FrontConfirm *confirm, int64_t at_ms)
{
  if (at_ms > confirm->at_ms)
    confirm->at_ms = at_ms;
}

/* While changes come without a pause, the newest confirmation is always ahead of what is known
 * here. The earliest is kept beside it, so that each is reached in turn. */
void
front_confirm_told (FrontConfirm *confirm, const Confirmation *told, int64_t version)
{
  if (told->newest <= version)
    {
      front_confirm_note (confirm, told->at_ms);
      return;
    }
  if (confirm->waiting_count < CONFIRM_WAITING_MAX)
    confirm->waiting_count++;
  confirm->waiting[confirm->waiting_count - 1] = *told;
}

void
front_confirm_applied (FrontConfirm *confirm, int64_t version)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < confirm->waiting_count; i++)
    {
      if (confirm->waiting[i].newest <= version)
        front_confirm_note (confirm, confirm->waiting[i].at_ms);
      else
        confirm->waiting[kept++] = confirm->waiting[i];
    }
  confirm->waiting_count = kept;
}

double
front_confirm_limit_ms (double apply_ms, unsigned level)
{
  unsigned steps = level < CONFIRM_STEPS_MAX ? level : CONFIRM_STEPS_MAX;

  return apply_ms * (CONFIRM_SHARE + CONFIRM_STEP_SHARE * steps);
}
