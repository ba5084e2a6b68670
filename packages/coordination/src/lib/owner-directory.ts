import { isHome, isSilenceConclusive, rankWeightedOwners } from '@cyclamenthread/state'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import type { HomeRegions, Host } from '@cyclamenthread/state'
import type { MemberView } from './member-task.js'

/** Time for which a host that did not answer is ranked last, in milliseconds. */
const UNRESPONSIVE_BACKOFF_MS = 2_000

/**
 * Time for which a host that left a probe unanswered is passed over, in milliseconds:
 * the membership has found out by then whether it still answers others.
 */
const QUIET_MS = 3_000

/**
 * This host's knowledge of which hosts own rollouts: an order of preference that all
 * hosts compute alike, the owners that other hosts named, and the hosts that did not
 * answer. It is only used to find an owner; the log of a rollout decides.
 */
export class OwnerDirectory {
  readonly #self: Host
  readonly #members: MemberView
  readonly #unresponsiveUntil = new Map<string, number>()
  readonly #quietUntil = new Map<string, number>()
  readonly #hints = new Map<string, string>()

  constructor (self: Host, members: MemberView) {
    this.#self = self
    this.#members = members
  }

  /** Looks up a live host. */
  findWorker (hostId: string | undefined): Host | undefined {
    return this.#members.workers().find(({ id }) => id === hostId)
  }

  /**
   * Returns the live hosts of the region in order of preference for a subject, in
   * proportion to their processors; hosts that don't answer, or did not recently, come last.
   * If the homes of the subject don't include the region, all hosts in the homes are ranked.
   */
  rank (subject: string, homes?: HomeRegions): Host[] {
    const workers = this.#members.workers().filter(({ region }) => isHome(homes, region))
    const inRegion = workers.filter((host) => host.region === this.#self.region)
    const hosts = inRegion.length > 0 ? inRegion : workers
    const byId = new Map(hosts.map((host) => [host.id, host]))
    const candidates = hosts.map(({ id, processorCores }) => ({ name: id, weight: processorCores ?? 1 }))
    return rankWeightedOwners(`rollouts/${subject}`, candidates)
      .sort((a, b) => Number(this.#isPassedOver(a)) - Number(this.#isPassedOver(b)))
      .flatMap((hostId) => byId.get(hostId) ?? [])
  }

  /** Returns the hosts to ask about a rollout: the one last named as its owner, then those in order of preference for its workspace. */
  likelyOwners (rolloutId: string, workspace: string): Host[] {
    const ranked = this.rank(workspace)
    const hint = this.findWorker(this.#hints.get(rolloutId))
    return hint === undefined || this.isSilent(hint.id) ? ranked : [hint, ...ranked.filter((host) => host.id !== hint.id)]
  }

  /** The host that was last named as the owner of a rollout. */
  hintOf (rolloutId: string): string | undefined {
    return this.#hints.get(rolloutId)
  }

  /** Records which host owns a rollout according to another host or the log; empty if it isn't known. */
  recordOwner (rolloutId: string, hostId: string): void {
    if (hostId !== '') this.#hints.set(rolloutId, hostId)
  }

  /** Forgets the owner of a rollout. */
  forgetOwner (rolloutId: string): void {
    this.#hints.delete(rolloutId)
  }

  /**
   * Whether a host is silent, as far as this host or the membership knows. It may
   * just be slow, so this is no reason to replace it as an owner.
   */
  isSilent (hostId: string): boolean {
    return (this.#quietUntil.get(hostId) ?? 0) > monotonicNow() || this.#members.isSuspected(hostId)
  }

  #isPassedOver (hostId: string): boolean {
    return this.isUnresponsive(hostId) || this.isSilent(hostId)
  }

  /** Records that a host has answered. */
  recordAnswer (hostId: string): void {
    this.#quietUntil.delete(hostId)
  }

  /**
   * Records that a host left a probe unanswered until a deadline, unless this process
   * was held up.
   *
   * @returns whether the silence counts
   */
  recordQuiet (hostId: string, deadline: number): boolean {
    const counts = isSilenceConclusive(deadline, monotonicNow())
    if (counts) {
      this.#quietUntil.set(hostId, deadlineAfter(QUIET_MS))
      this.#members.reportSilence(hostId)
    }
    return counts
  }

  /** Whether a host did not answer recently. */
  isUnresponsive (hostId: string): boolean {
    return (this.#unresponsiveUntil.get(hostId) ?? 0) > monotonicNow()
  }

  /** Records that a host answered that it can't serve. */
  markUnresponsive (hostId: string): void {
    this.#unresponsiveUntil.set(hostId, deadlineAfter(UNRESPONSIVE_BACKOFF_MS))
  }

  /**
   * Records that a host gave no answer until a deadline, unless this process was held up.
   *
   * @returns whether the silence counts
   */
  recordSilence (hostId: string, deadline: number): boolean {
    const counts = isSilenceConclusive(deadline, monotonicNow())
    if (counts) {
      this.markUnresponsive(hostId)
      this.#members.reportSilence(hostId)
    }
    return counts
  }
}
