import type { LeaderLease, PlatformPort, EndpointPort, ObjectStore } from '@cyclamenthread/protocol'
import type { StepDemand, UsageTally } from '@cyclamenthread/state'
import type { DeploymentView } from './deployment-view.js'
import type { EndpointNotices } from './endpoint-notice-task.js'
import type { EventLog } from './event-log.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { SendPermits } from './send-permit-task.js'
import type { StoreMirror } from './store-mirror.js'

/** Requests to retire storage hosts, and a way to answer them. */
export interface RetirementSource {
  /** Returns the names of hosts whose retirement is not complete. */
  pending (): readonly string[]
  /** Marks a host's retirement as complete; returns whether the store accepted it. */
  complete (name: string): Promise<boolean>
}

/** Dependencies of the leader's duties. */
export interface DutyContext {
  readonly hostId: string
  readonly deployment: DeploymentView
  readonly endpoints: EndpointPort
  readonly sends: SendPermits
  readonly notices: EndpointNotices
  readonly platform: PlatformPort
  readonly store: ObjectStore
  readonly members: MemberView
  readonly bus: MessageBus
  readonly tally: UsageTally
  /** Work per training step of each model, as announced to this host. */
  readonly demand: StepDemand
  readonly retirements: RetirementSource
  /** Mirrors that run only while this host leads. */
  readonly mirrors: readonly StoreMirror[]
  /** Returns the newest released version of each model. */
  readonly releases: () => ReadonlyMap<string, number>
  readonly log: EventLog
}

/** A periodic job that only the leader runs. */
export interface Duty {
  /**
   * Does all work that is due now.
   *
   * @param lease returns the right to make one call if the lease is held at this moment; to be called again before each external call
   */
  runOnce (lease: () => LeaderLease | undefined): Promise<void>
  /** Discards the state gathered under an earlier lease. */
  reset (): void
}
