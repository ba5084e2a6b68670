import type { NetworkLocation } from '@cyclamenthread/state'
import type { EndpointPort } from '@cyclamenthread/protocol'
import type { CallRelay } from './call-forwarder.js'
import type { CallTask } from './call-task.js'
import type { DeploymentView } from './deployment-view.js'
import type { EndpointNotices } from './endpoint-notice-task.js'
import type { EventLog } from './event-log.js'
import type { SendPermits } from './send-permit-task.js'
import type { RolloutStore } from './rollout-store.js'

/** Dependencies shared by all rollout runs of a host. */
export interface RolloutContext {
  readonly deployment: DeploymentView
  readonly endpoints: EndpointPort
  readonly sends: SendPermits
  readonly notices: EndpointNotices
  readonly relay: CallRelay
  /** Runs the reward requests of samples. */
  readonly calls: CallTask
  readonly store: RolloutStore
  readonly networkLocation: NetworkLocation
  readonly writer: string
  readonly log: EventLog
}
