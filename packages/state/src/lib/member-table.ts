import xxhash from 'xxhash-wasm'
import { HostState } from './host.js'
import type { MemberRecord } from './membership-message.js'

const { h32 } = await xxhash()

/** Buckets of the digest. More buckets narrow a difference down further and lengthen each message. */
export const DIGEST_BUCKETS = 16

/** A member as this host holds it. */
export interface HeldMember {
  readonly record: MemberRecord
  /** Monotonic milliseconds after which a suspected member counts as dead. */
  readonly suspectedUntil?: number
  /** Monotonic milliseconds after which a dead member is forgotten. */
  readonly forgetAt?: number
}

/**
 * The members that a host knows, with a digest by bucket that two hosts compare.
 *
 * Invariant: the digest covers exactly the members held that are not dead. Dead
 * ones are left out because hosts forget them at different times; a suspicion is
 * left out because it is settled within seconds.
 */
export class MemberTable {
  readonly #members = new Map<string, HeldMember>()
  readonly #digest = new Array<number>(DIGEST_BUCKETS).fill(0)

  /** Digest of the view, a number for each bucket. */
  get digest (): readonly number[] {
    return this.#digest
  }

  get (hostId: string): HeldMember | undefined {
    return this.#members.get(hostId)
  }

  all (): HeldMember[] {
    return [...this.#members.values()]
  }

  /** Ids of the members for which `wanted` holds. */
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

  /** Records of the buckets in which another host's digest differs, dead members among them. */
  differingRecords (digest: readonly number[]): MemberRecord[] {
    if (this.#digest.every((value, bucket) => value === digest[bucket])) return []
    return this.all().map((member) => member.record).filter((record) => {
      const bucket = bucketOf(record.host.id)
      return this.#digest[bucket] !== digest[bucket]
    })
  }

  /** Adds a member to the digest, or takes it out again: the two are the same operation. */
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
