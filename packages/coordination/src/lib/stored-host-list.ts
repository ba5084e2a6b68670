import { failure, success } from '@cyclamenthread/state'
import { ExpectationKind, hostSchema, HOSTS_PREFIX, PlatformFailure, StorePurpose, WriteStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { Backoff } from './backoff.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { Host, Outcome } from '@cyclamenthread/state'
import type { ObjectStore, PlatformCall, PlatformHost } from '@cyclamenthread/protocol'
import type { HostDirectory } from './member-task.js'

/** Longest wait for one store call, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500

/**
 * A host list kept in the store: each host writes its own record when it starts.
 * Records of removed hosts are kept; the membership protocol marks them as dead.
 *
 * @example
 * const list = new StoredHostList(store)
 * await list.register(self)
 */
export class StoredHostList implements HostDirectory {
  readonly #store: ObjectStore

  constructor (store: ObjectStore) {
    this.#store = store
  }

  async hosts (call: PlatformCall): Promise<Outcome<readonly PlatformHost[], PlatformFailure>> {
    const listed = await this.#store.list(HOSTS_PREFIX, { purpose: StorePurpose.Other, deadline: call.deadline })
    if (!listed.ok) return failure(PlatformFailure.Unavailable)
    return success(listed.value.flatMap((object) => {
      const host = hostSchema.safeParse(object.value)
      return host.success ? [{ ...host.data, leaving: false }] : []
    }))
  }

  /** Writes this host's record; retries until it succeeds or the host is stopped. */
  async register (self: Host, stopped: () => boolean): Promise<void> {
    const backoff = new Backoff(Math.random)
    while (!stopped() && !await this.#writeRecord(self)) await SYSTEM_CLOCK.sleep(backoff.nextDelayMs())
  }

  async #writeRecord (self: Host): Promise<boolean> {
    const created = await this.#store.write(HOSTS_PREFIX + self.id, self, { kind: ExpectationKind.Absent }, this.#storeCall())
    if (created.status === WriteStatus.Applied) return true
    const found = await this.#store.read(HOSTS_PREFIX + self.id, this.#storeCall())
    if (!found.ok || found.value === undefined) return false
    const known = hostSchema.safeParse(found.value.value).data
    if (known?.peerAddress === self.peerAddress && known.callerUrl === self.callerUrl) return true
    const written = await this.#store.write(HOSTS_PREFIX + self.id, self, { kind: ExpectationKind.Version, version: found.value.version }, this.#storeCall())
    return written.status === WriteStatus.Applied
  }

  #storeCall (): { readonly purpose: StorePurpose, readonly deadline: number } {
    return { purpose: StorePurpose.Other, deadline: deadlineAfter(CALL_TIMEOUT_MS) }
  }
}

/**
 * Reads the secret with which the hosts of a deployment authenticate each other;
 * the first host that needs it creates it.
 *
 * @param generate returns a new secret
 * @param deadline monotonic milliseconds after which the function gives up
 * @returns the secret, or undefined if the store could not be used before the deadline
 * @example
 * const secret = await readOrCreateClusterSecret(store, key, () => randomUUID(), deadlineAfter(5_000))
 */
export async function readOrCreateClusterSecret (store: ObjectStore, key: string, generate: () => string, deadline: number): Promise<string | undefined> {
  const backoff = new Backoff(Math.random)
  while (monotonicNow() < deadline) {
    const call = { purpose: StorePurpose.Other, deadline: deadlineAfter(CALL_TIMEOUT_MS) }
    const found = await store.read(key, call)
    if (found.ok && typeof found.value?.value === 'string') return found.value.value
    if (found.ok && found.value === undefined) {
      const secret = generate()
      const written = await store.write(key, secret, { kind: ExpectationKind.Absent }, call)
      if (written.status === WriteStatus.Applied) return secret
    }
    await SYSTEM_CLOCK.sleep(backoff.nextDelayMs())
  }
  return undefined
}
