import { WorkClass } from '../lib/catalogue.js'
import type { SlotRequest } from '../lib/cell-event.js'

/** A request for tests, with what they leave open filled in. */
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
    suspect: false,
    excluded: [],
    deadline: Infinity,
    ...part
  }
}
