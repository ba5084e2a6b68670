import { WorkClass } from './catalogue.js'
import { ArrivalQueue } from './arrival-queue.js'
import { IndexedHeap } from './indexed-heap.js'
import { invariant } from './invariant.js'
import type { SlotRequest } from './cell-event.js'

/** Classes in the order in which they are served. */
const CLASS_ORDER: readonly WorkClass[] = [WorkClass.Booking, WorkClass.Interactive, WorkClass.Training]

/** Share of the tokens that a class gets at least while it has work waiting, whatever goes before it. */
export const MIN_CLASS_SHARE = 0.1

/** Requests of mean size that a class may be owed at once, so that one whose endpoints were away does not take all at its return. */
const MAX_CREDIT_REQUESTS = 2

/**
 * Requests of mean size that a workspace may be served ahead of its share when it
 * comes back from idle. Without it, one that uses most of its share waits behind
 * its own bursts as soon as another floods the cell.
 */
export const BURST_REQUESTS = 16

/** Weight of the newest request in the mean size. */
const MEAN_SMOOTHING = 0.02

/** Workspaces per class whose counters are kept while they have nothing waiting. */
const MAX_IDLE_ACCOUNTS = 1_000

/** The virtual token counter of a workspace in one class. */
interface WorkspaceAccount {
  readonly workspace: string
  /** Tokens served, divided by the weight. */
  counter: number
  weight: number
  /** Tokens that its waiting requests are expected to cost. */
  tokens: number
  /** Its flows that have requests waiting. */
  readonly flows: Set<Flow>
}

/** Requests of one workspace and class that may go to the same endpoints. */
interface Flow {
  readonly account: WorkspaceAccount
  readonly lane: Lane
  readonly waiting: ArrivalQueue
}

/** Requests of a class with the same restriction on endpoints: all of them fit a free slot, or none does. */
interface Lane {
  readonly name: string
  readonly flows: Map<string, Flow>
  readonly order: IndexedHeap<Flow>
}

/** The waiting requests of one class. */
interface ClassQueue {
  readonly workClass: WorkClass
  readonly accounts: Map<string, WorkspaceAccount>
  readonly lanes: Map<string, Lane>
  /** Counter of the workspace served last; never goes back. */
  virtualTime: number
  size: number
  tokens: number
  /** Smoothed cost of a request that was taken, in tokens. */
  meanCost: number
  /** Weights of the workspaces that have requests waiting. */
  backloggedWeight: number
  /** Tokens this class is owed by its floor. */
  credit: number
}

/** Place of a waiting request. */
interface QueuedRequest {
  readonly request: SlotRequest
  readonly queue: ClassQueue
  readonly flow: Flow
}

/**
 * Orders waiting requests: class first, with a floor for each class; then the
 * workspace with the lowest weighted counter of tokens served; then arrival.
 * Adding, taking and removing cost O(log workspaces), whatever the number of
 * requests; taking also looks once at each distinct restriction on endpoints.
 *
 * Invariants: the virtual time of a class never goes back, and a workspace that
 * had nothing waiting starts at most `BURST_REQUESTS` behind it, so it can't claim
 * more of the service it did not ask for. A class with nothing waiting is owed nothing.
 */
export class FairQueue {
  readonly #classes: readonly ClassQueue[] = CLASS_ORDER.map((workClass) => ({
    workClass, accounts: new Map(), lanes: new Map(), virtualTime: 0, size: 0, tokens: 0, meanCost: 0, backloggedWeight: 0, credit: 0
  }))

  readonly #queued = new Map<string, QueuedRequest>()
  #expectedTokens = 0

  /** Requests that wait. */
  get size (): number {
    return this.#queued.size
  }

  /** Tokens that the waiting requests are expected to cost. */
  get expectedTokens (): number {
    return this.#expectedTokens
  }

  /** Whether a request waits. */
  has (requestId: string): boolean {
    return this.#queued.has(requestId)
  }

  /** The waiting request of that id. */
  find (requestId: string): SlotRequest | undefined {
    return this.#queued.get(requestId)?.request
  }

  /**
   * Tokens that are expected to be served before a request that arrives now: all
   * of the classes before its own, and of its own as much as fair order puts first.
   */
  tokensAhead (request: SlotRequest): number {
    const own = this.#classOf(request.class)
    const account = own.accounts.get(request.workspace)
    const ownTokens = account?.tokens ?? 0
    const otherWeight = own.backloggedWeight - (ownTokens > 0 ? account?.weight ?? 0 : 0)
    const before = this.#classes.slice(0, CLASS_ORDER.indexOf(request.class)).reduce((sum, queue) => sum + queue.tokens, 0)
    return before + Math.min(own.tokens, (ownTokens + request.expectedTokens) * (1 + otherWeight / request.weight) - request.expectedTokens)
  }

  /**
   * Adds a request behind those of its workspace.
   *
   * @param lane names the restriction on endpoints; requests of one lane must be interchangeable for `accepts`
   */
  push (request: SlotRequest, lane = ''): void {
    const queue = this.#classOf(request.class)
    const account = this.#accountOf(queue, request.workspace)
    if (account.flows.size === 0) {
      account.counter = Math.max(account.counter, queue.virtualTime - BURST_REQUESTS * queue.meanCost)
      account.weight = request.weight
      queue.backloggedWeight += request.weight
    }
    const flow = this.#flowOf(queue, lane, account)
    flow.waiting.push(request)
    account.flows.add(flow)
    account.tokens += request.expectedTokens
    flow.lane.order.put(flow)
    this.#queued.set(request.requestId, { request, queue, flow })
    queue.size += 1
    queue.tokens += request.expectedTokens
    this.#expectedTokens += request.expectedTokens
  }

  /** Removes and returns the next request that `accepts`, or undefined. */
  take (accepts: (request: SlotRequest) => boolean): SlotRequest | undefined {
    for (const queue of this.#servingOrder()) {
      const request = this.#selectNext(queue, accepts)
      if (request === undefined) continue
      this.remove(request.requestId)
      this.#charge(queue, request)
      return request
    }
    return undefined
  }

  /** Removes a waiting request, if it is there; its workspace pays nothing. */
  remove (requestId: string): SlotRequest | undefined {
    const queued = this.#queued.get(requestId)
    if (queued === undefined) return undefined
    const { request, queue, flow } = queued
    this.#queued.delete(requestId)
    flow.waiting.delete(request)
    flow.account.tokens -= request.expectedTokens
    if (flow.waiting.size === 0) closeFlow(queue, flow)
    queue.size -= 1
    queue.tokens -= request.expectedTokens
    this.#expectedTokens -= request.expectedTokens
    if (queue.size === 0) queue.credit = 0
    return request
  }

  /** Corrects the counter of a workspace once the true cost of a request is known. */
  settleCost (request: SlotRequest, actualTokens: number): void {
    const queue = this.#classOf(request.class)
    const account = queue.accounts.get(request.workspace)
    if (account === undefined) return
    account.counter += (actualTokens - request.expectedTokens) / request.weight
    updateFlowOrder(account)
  }

  /** All waiting requests. */
  requests (): SlotRequest[] {
    return [...this.#queued.values()].map((place) => place.request)
  }

  #classOf (workClass: WorkClass): ClassQueue {
    return this.#classes[CLASS_ORDER.indexOf(workClass)] as ClassQueue
  }

  #accountOf (queue: ClassQueue, workspace: string): WorkspaceAccount {
    const known = queue.accounts.get(workspace)
    if (known !== undefined) return known
    if (queue.accounts.size >= MAX_IDLE_ACCOUNTS) evictIdleAccounts(queue)
    const account: WorkspaceAccount = { workspace, counter: queue.virtualTime, weight: 1, tokens: 0, flows: new Set() }
    queue.accounts.set(workspace, account)
    return account
  }

  #flowOf (queue: ClassQueue, laneName: string, account: WorkspaceAccount): Flow {
    let lane = queue.lanes.get(laneName)
    if (lane === undefined) {
      lane = { name: laneName, flows: new Map(), order: new IndexedHeap(isServedBefore) }
      queue.lanes.set(laneName, lane)
    }
    let flow = lane.flows.get(account.workspace)
    if (flow === undefined) {
      flow = { account, lane, waiting: new ArrivalQueue() }
      lane.flows.set(account.workspace, flow)
    }
    return flow
  }

  /** Classes that are owed a request by their floor go first, the last class before the others. */
  #servingOrder (): ClassQueue[] {
    const withCredit = this.#classes.filter((queue) => queue.size > 0 && queue.credit >= queue.tokens / queue.size)
    return [...withCredit.reverse(), ...this.#classes]
  }

  #selectNext (queue: ClassQueue, accepts: (request: SlotRequest) => boolean): SlotRequest | undefined {
    let best: Flow | undefined
    for (const lane of queue.lanes.values()) {
      const flow = lane.order.peek()
      if (flow === undefined || (best !== undefined && !isServedBefore(flow, best))) continue
      if (accepts(headOf(flow))) best = flow
    }
    return best === undefined ? undefined : headOf(best)
  }

  #charge (queue: ClassQueue, request: SlotRequest): void {
    const account = this.#accountOf(queue, request.workspace)
    queue.virtualTime = Math.max(queue.virtualTime, account.counter)
    account.counter += request.expectedTokens / request.weight
    updateFlowOrder(account)
    queue.meanCost += (queue.meanCost === 0 ? 1 : MEAN_SMOOTHING) * (request.expectedTokens - queue.meanCost)
    queue.credit = Math.max(0, queue.credit - request.expectedTokens)
    for (const other of this.#classes) {
      if (other.size === 0) continue
      const earned = MIN_CLASS_SHARE * request.expectedTokens
      const maxCredit = MAX_CREDIT_REQUESTS * Math.max(earned, other.tokens / other.size)
      other.credit = Math.max(other.credit, Math.min(maxCredit, other.credit + earned))
    }
  }
}

function isServedBefore (a: Flow, b: Flow): boolean {
  if (a.account.counter !== b.account.counter) return a.account.counter < b.account.counter
  return a.account.workspace < b.account.workspace
}

function headOf (flow: Flow): SlotRequest {
  const head = flow.waiting.peek()
  invariant(head !== undefined, 'an open flow has a request waiting')
  return head
}

function closeFlow (queue: ClassQueue, flow: Flow): void {
  const { account, lane } = flow
  lane.order.delete(flow)
  lane.flows.delete(account.workspace)
  account.flows.delete(flow)
  if (lane.flows.size === 0) queue.lanes.delete(lane.name)
  if (account.flows.size === 0) queue.backloggedWeight -= account.weight
}

function updateFlowOrder (account: WorkspaceAccount): void {
  for (const flow of account.flows) flow.lane.order.put(flow)
}

/** Forgets counters that have fallen behind the virtual time; they lose no more than a burst. */
function evictIdleAccounts (queue: ClassQueue): void {
  for (const [workspace, account] of queue.accounts) {
    if (account.flows.size === 0 && account.counter <= queue.virtualTime) queue.accounts.delete(workspace)
  }
}
