import { EventEmitter } from 'node:events'
import { HostState } from '@cyclamenthread/state'
import type { CatalogueView, Host } from '@cyclamenthread/state'
import type { CatalogueSource, Member, MemberView } from '@cyclamenthread/coordination'

/** Member view whose states are set by the experiment. */
export class StaticMembers implements MemberView {
  readonly #members = new Map<string, Member>()
  readonly #changes = new EventEmitter()

  constructor (hosts: readonly Host[]) {
    this.#changes.setMaxListeners(0)
    for (const host of hosts) this.#members.set(host.id, { host, state: HostState.Alive })
  }

  /** Sets the state of a host and notifies the listeners. */
  setState (hostId: string, state: HostState): void {
    const member = this.#members.get(hostId)
    if (member === undefined) return
    this.#members.set(hostId, { host: member.host, state })
    this.#changes.emit('change')
  }

  workers (): Host[] {
    return this.members().filter((member) => member.state === HostState.Alive).map((member) => member.host)
  }

  members (): Member[] {
    return [...this.#members.values()]
  }

  find (hostId: string): Host | undefined {
    return this.#members.get(hostId)?.host
  }

  isSuspected (hostId: string): boolean {
    return this.#members.get(hostId)?.state === HostState.Suspect
  }

  reportSilence (): void {}

  onChange (listener: () => void): void {
    this.#changes.on('change', listener)
  }
}

/** Catalogue source with one fixed revision. */
export class StaticCatalogue implements CatalogueSource {
  readonly #view: CatalogueView

  constructor (view: CatalogueView) {
    this.#view = view
  }

  current (): CatalogueView {
    return this.#view
  }

  onChange (): void {}
}
