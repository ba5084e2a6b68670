import { monotonicNow, suspendAwareNow } from '@cyclamenthread/transport'
import type { Clock } from '@cyclamenthread/state'

/** The clock of this machine. */
export const SYSTEM_CLOCK: Clock = {
  now: monotonicNow,
  elapsed: suspendAwareNow,
  wall: () => Date.now(),
  sleep: async (milliseconds) => await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
