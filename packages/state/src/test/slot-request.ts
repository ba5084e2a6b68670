import { WorkClass } from '../lib/catalogue.js'
import { RequestOrigin } from '../lib/request-origin.js'
import type { SlotRequest } from '../lib/cell-event.js'

/** Builds a slot request for tests; `part` overrides the default fields. */
export function slotRequest (requestId: string, part: Partial<SlotRequest>): SlotRequest {
  return {
    requestId,
    workspace: 'w',
    weight: 1,
    class: WorkClass.Training,
    entry: 'e',
    gateway: 'g0',
    expectedTokens: 10,
    promptTokens: 4,
    prefix: '',
    digest: requestId,
    origin: RequestOrigin.Caller,
    suspect: false,
    excluded: [],
    deadline: Infinity,
    ...part
  }
}
