import { WorkClass } from './catalogue.js'
import type { SlotRequest } from './cell-event.js'

/** Classes in the order in which they are served. */
const CLASS_ORDER: readonly WorkClass[] = [WorkClass.Booking, WorkClass.Interactive, WorkClass.Training]

/** A waiting request with its virtual start tag. */
interface Waiting {
  readonly request: SlotRequest
  readonly startTag: number
}

/**
 * Orders waiting requests: class first, then start-time fair queueing on tokens
 * between workspaces, then arrival.
 *
 * Invariant: within a class, the virtual time never goes back, so a workspace
 * that was idle can't claim the service it did not ask for.
 */
export class FairQueue {
  readonly #waiting = new Map<WorkClass, Waiting[]>()
  /** Finish tag of the last request of each workspace. */
  readonly #finishTags = new Map<string, number>()
  #virtualTime = 0
  #expectedTokens = 0

  /** Requests that wait. */
  get size (): number {
    let size = 0
    for (const list of this.#waiting.values()) size += list.length
    return size
  }

  /** Tokens that the waiting requests are expected to cost. */
  get expectedTokens (): number {
    return this.#expectedTokens
  }

  /** Adds a request behind those of its workspace. */
  push (request: SlotRequest): void {
    const startTag = Math.max(this.#virtualTime, this.#finishTags.get(request.workspace) ?? 0)
    this.#finishTags.set(request.workspace, startTag + request.expectedTokens / request.weight)
    const list = this.#waiting.get(request.class) ?? []
    list.push({ request, startTag })
    this.#waiting.set(request.class, list)
    this.#expectedTokens += request.expectedTokens
  }

  /** Removes and returns the next request that `accepts`, or undefined. */
  take (accepts: (request: SlotRequest) => boolean): SlotRequest | undefined {
    for (const workClass of CLASS_ORDER) {
      const next = this.#next(workClass, accepts)
      if (next === undefined) continue
      this.#virtualTime = Math.max(this.#virtualTime, next.startTag)
      this.remove(next.request.requestId)
      return next.request
    }
    return undefined
  }

  /** Removes a waiting request, if it is there. */
  remove (requestId: string): SlotRequest | undefined {
    for (const list of this.#waiting.values()) {
      const index = list.findIndex((item) => item.request.requestId === requestId)
      if (index < 0) continue
      const [removed] = list.splice(index, 1)
      this.#expectedTokens -= removed?.request.expectedTokens ?? 0
      return removed?.request
    }
    return undefined
  }

  /** Corrects the account of a workspace once the true cost of a request is known. */
  settle (request: SlotRequest, actualTokens: number): void {
    const tag = this.#finishTags.get(request.workspace) ?? 0
    const correction = (actualTokens - request.expectedTokens) / request.weight
    this.#finishTags.set(request.workspace, Math.max(this.#virtualTime, tag + correction))
  }

  /** A copy of all waiting requests. */
  requests (): SlotRequest[] {
    return [...this.#waiting.values()].flatMap((list) => list.map((item) => item.request))
  }

  #next (workClass: WorkClass, accepts: (request: SlotRequest) => boolean): Waiting | undefined {
    let best: Waiting | undefined
    for (const item of this.#waiting.get(workClass) ?? []) {
      if (best !== undefined && item.startTag >= best.startTag) continue
      if (accepts(item.request)) best = item
    }
    return best
  }
}
