import type { LeaderLease, PlatformPort, EndpointPort, ObjectStore } from '@cyclamenthread/protocol'
import type { StepDemand, UsageTally } from '@cyclamenthread/state'
import type { DeploymentView } from './deployment-view.js'
import type { EventLog } from './event-log.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { StoreMirror } from './store-mirror.js'

/** Storage hosts that are to be emptied, and how that is answered. */
export interface RetirementSource {
  /** Names of hosts whose retirement is not completed yet. */
  pending (): readonly string[]
  /** Says that nothing needs a host any more; whether the store took it. */
  complete (name: string): Promise<boolean>
}

/** What the duties of the leader work with. */
export interface DutyContext {
  readonly hostId: string
  readonly deployment: DeploymentView
  readonly endpoints: EndpointPort
  readonly platform: PlatformPort
  readonly store: ObjectStore
  readonly members: MemberView
  readonly bus: MessageBus
  readonly tally: UsageTally
  /** What the steps of each model bring in work, as far as this host was told. */
  readonly demand: StepDemand
  readonly retirements: RetirementSource
  /** Followed only while this host leads. */
  readonly mirrors: readonly StoreMirror[]
  /** The newest version named for each model. */
  readonly releases: () => ReadonlyMap<string, number>
  readonly log: EventLog
}

/** One matter that the leader looks after. */
export interface Duty {
  /**
   * Does what is due now.
   *
   * @param lease gives the lease if it holds at this moment; asked anew before each call
   */
  runOnce (lease: () => LeaderLease | undefined): Promise<void>
  /** Forgets what was known under an earlier lease. */
  reset (): void
}
