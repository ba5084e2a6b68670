import xxhash from 'xxhash-wasm'
import { HostState } from './host.js'
import type { MemberRecord } from './membership-message.js'

const { h32 } = await xxhash()

/** Number of buckets of the digest. More buckets locate a difference more precisely but make each message longer. */
export const DIGEST_BUCKETS = 16

/** A member as stored by this host. */
export interface HeldMember {
  readonly record: MemberRecord
  /** Monotonic milliseconds after which a suspected member is considered dead. */
  readonly suspectedUntil?: number
  /** Monotonic milliseconds after which a dead member is removed. */
  readonly forgetAt?: number
}

/**
 * The members that a host knows, with a digest per bucket by which two hosts find
 * differences.
 *
 * Invariant: the digest covers exactly the stored members that are not dead. Dead
 * members are excluded because hosts remove them at different times; suspicions are
 * excluded because they are resolved within seconds.
 */
export class MemberTable {
  readonly #members = new Map<string, HeldMember>()
  readonly #digest = new Array<number>(DIGEST_BUCKETS).fill(0)

  /** Digest of the members, one number for each bucket. */
  get digest (): readonly number[] {
    return this.#digest
  }

  get (hostId: string): HeldMember | undefined {
    return this.#members.get(hostId)
  }

  all (): HeldMember[] {
    return [...this.#members.values()]
  }

  /** Ids of the members for which `wanted` returns true. */
  idsWhere (wanted: (member: HeldMember) => boolean): string[] {
    return this.all().filter(wanted).map((member) => member.record.host.id)
  }

  set (member: HeldMember): void {
    const { id } = member.record.host
    this.#toggleInDigest(this.#members.get(id))
    this.#members.set(id, member)
    this.#toggleInDigest(member)
  }

  remove (hostId: string): void {
    this.#toggleInDigest(this.#members.get(hostId))
    this.#members.delete(hostId)
  }

  /** Records in the buckets in which another host's digest differs, including dead members. */
  differingRecords (digest: readonly number[]): MemberRecord[] {
    if (this.#digest.every((value, bucket) => value === digest[bucket])) return []
    return this.all().map((member) => member.record).filter((record) => {
      const bucket = bucketOf(record.host.id)
      return this.#digest[bucket] !== digest[bucket]
    })
  }

  /** Adds a member to the digest or removes it; both are the same XOR. */
  #toggleInDigest (member: HeldMember | undefined): void {
    if (member === undefined || member.record.state === HostState.Dead) return
    const { host, incarnation, state } = member.record
    const bucket = bucketOf(host.id)
    const leaving = state === HostState.Leaving
    this.#digest[bucket] = ((this.#digest[bucket] ?? 0) ^ h32(`${host.id}\u0000${incarnation}\u0000${leaving}`)) >>> 0
  }
}

function bucketOf (hostId: string): number {
  return h32(hostId) % DIGEST_BUCKETS
}
