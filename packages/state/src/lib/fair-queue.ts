import { WorkClass } from './catalogue.js'
import { ArrivalQueue } from './arrival-queue.js'
import { IndexedHeap } from './indexed-heap.js'
import { invariant } from './invariant.js'
import type { SlotRequest } from './cell-event.js'

/** Classes in the order of their priority. */
const CLASS_ORDER: readonly WorkClass[] = [WorkClass.Booking, WorkClass.Interactive, WorkClass.Training]

/** Minimum share of the tokens that a class gets while it has requests waiting, whatever the demand of higher classes. */
export const MIN_CLASS_SHARE = 0.1

/** Maximum credit of a class, in requests of mean size; keeps a class whose endpoints were unavailable from taking all capacity when they return. */
const MAX_CREDIT_REQUESTS = 2

/**
 * Burst, in requests of mean size, that a workspace may be served ahead of its share
 * after it was idle. Without it, a workspace that uses most of its share waits
 * behind its own bursts as soon as another one floods the cell.
 */
export const BURST_REQUESTS = 16

/** Smoothing factor of the mean request size: weight of the newest request. */
const MEAN_SMOOTHING = 0.02

/** Number of accounts per class from which those of idle workspaces are evicted. */
const MAX_IDLE_ACCOUNTS = 1_000

/** Virtual token counter of a workspace in one class. */
interface WorkspaceAccount {
  readonly workspace: string
  /** Served tokens, divided by the weight. */
  counter: number
  weight: number
  /** Expected cost of its waiting requests, in tokens. */
  tokens: number
  /** Flows that have requests waiting. */
  readonly flows: Set<Flow>
}

/** Waiting requests of one workspace, class and lane. */
interface Flow {
  readonly account: WorkspaceAccount
  readonly lane: Lane
  readonly waiting: ArrivalQueue
}

/** Flows of a class with the same restriction on endpoints: a free slot suits all of their requests or none. */
interface Lane {
  readonly name: string
  readonly flows: Map<string, Flow>
  readonly order: IndexedHeap<Flow>
}

/** Waiting requests of one class. */
interface ClassQueue {
  readonly workClass: WorkClass
  readonly accounts: Map<string, WorkspaceAccount>
  readonly lanes: Map<string, Lane>
  /** Counter of the workspace that was served last; never decreases. */
  virtualTime: number
  size: number
  tokens: number
  /** Exponentially smoothed cost of the requests taken, in tokens. */
  meanCost: number
  /** Sum of the weights of the workspaces that have requests waiting. */
  backloggedWeight: number
  /** Tokens that the class is entitled to by its minimum share and has not received yet. */
  credit: number
}

/** A waiting request and its position in the queue. */
interface QueuedRequest {
  readonly request: SlotRequest
  readonly queue: ClassQueue
  readonly flow: Flow
}

/**
 * Weighted fair queue. Orders requests by class, with a minimum share for each
 * class; then by workspace, lowest weighted counter of served tokens first; then by
 * arrival. Adding, taking and removing cost O(log workspaces), independent of the
 * number of requests; taking also checks each lane once.
 *
 * Invariants: the virtual time of a class never decreases, and a workspace that had
 * nothing waiting starts at most `BURST_REQUESTS` behind it, so that it can't claim
 * further service for the time in which it was idle. A class with nothing waiting
 * has no credit.
 */
export class FairQueue {
  readonly #classes: readonly ClassQueue[] = CLASS_ORDER.map((workClass) => ({
    workClass, accounts: new Map(), lanes: new Map(), virtualTime: 0, size: 0, tokens: 0, meanCost: 0, backloggedWeight: 0, credit: 0
  }))

  readonly #queued = new Map<string, QueuedRequest>()
  #expectedTokens = 0

  /** Number of waiting requests. */
  get size (): number {
    return this.#queued.size
  }

  /** Expected cost of the waiting requests, in tokens. */
  get expectedTokens (): number {
    return this.#expectedTokens
  }

  /** Whether a request is waiting. */
  has (requestId: string): boolean {
    return this.#queued.has(requestId)
  }

  /** Looks up a waiting request by id. */
  find (requestId: string): SlotRequest | undefined {
    return this.#queued.get(requestId)?.request
  }

  /**
   * Estimates the tokens that are served before a request that arrives now: all of
   * the higher classes, and those of its own class that fair order puts first.
   */
  tokensAhead (request: SlotRequest): number {
    const ownClass = this.#classOf(request.class)
    const account = ownClass.accounts.get(request.workspace)
    const ownTokens = account?.tokens ?? 0
    const otherWeight = ownClass.backloggedWeight - (ownTokens > 0 ? account?.weight ?? 0 : 0)
    const higherClassTokens = this.#classes.slice(0, CLASS_ORDER.indexOf(request.class)).reduce((sum, queue) => sum + queue.tokens, 0)
    return higherClassTokens + Math.min(ownClass.tokens, (ownTokens + request.expectedTokens) * (1 + otherWeight / request.weight) - request.expectedTokens)
  }

  /**
   * Adds a request after those of its workspace.
   *
   * @param lane name of the restriction on endpoints; `accepts` must give the same result for all requests of a lane
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

  /** Removes and returns the next request for which `accepts` returns true, or undefined. */
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

  /** Removes a waiting request, if present, without charging its workspace. */
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

  /** Corrects the counter of a workspace once the actual cost of a request is known. */
  settleCost (request: SlotRequest, actualTokens: number): void {
    const queue = this.#classOf(request.class)
    const account = queue.accounts.get(request.workspace)
    if (account === undefined) return
    account.counter += (actualTokens - request.expectedTokens) / request.weight
    updateFlowOrder(account)
  }

  /** Returns all waiting requests. */
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

  /** Returns classes with credit for a request first, the lowest class before the others. */
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
  invariant(head !== undefined, 'a flow in the order has a request waiting')
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

/** Evicts idle accounts whose counters are behind the virtual time; their workspaces lose no more than a burst. */
function evictIdleAccounts (queue: ClassQueue): void {
  for (const [workspace, account] of queue.accounts) {
    if (account.flows.size === 0 && account.counter <= queue.virtualTime) queue.accounts.delete(workspace)
  }
}
