import { intersectHomes } from './homes/home-regions.js'
import type { Declaration, DeclaredService, Route } from './declaration.js'
import type { HomeRegions } from './homes/home-regions.js'

/** Why a caller's request matches no route that it may use. */
export enum RouteDenial {
  NoRoute = 'no-route',
  UnknownKey = 'unknown-key'
}

/** Result of matching a caller's request: its route and workspace, or why it is denied. */
export type RouteMatch =
  | { readonly ok: true, readonly route: Route, readonly workspace: string | undefined }
  | { readonly ok: false, readonly denial: RouteDenial }

/**
 * An indexed declaration. Immutable, so that a request sees the same version from
 * start to end.
 *
 * @example
 * new RouteTable(declaration).match('desk.example', '/pitches/4', key)
 */
export class RouteTable {
  readonly declaration: Declaration
  readonly #routes = new Map<string, Route[]>()
  readonly #routesByName = new Map<string, Route>()
  readonly #workspaces = new Map<string, string>()
  readonly #workspaceHomes = new Map<string, HomeRegions>()
  readonly #services = new Map<string, DeclaredService>()

  constructor (declaration: Declaration) {
    this.declaration = declaration
    for (const route of declaration.routes) {
      this.#routes.set(route.host, [...this.#routes.get(route.host) ?? [], route])
      this.#routesByName.set(route.name, route)
    }
    for (const routes of this.#routes.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    for (const workspace of declaration.workspaces ?? []) {
      this.#workspaceHomes.set(workspace.name, workspace.homes)
      for (const key of workspace.keys) this.#workspaces.set(key, workspace.name)
    }
    for (const service of declaration.services) this.#services.set(service.name, service)
  }

  /** Whether callers need a key, also if no key is left. */
  get needsKeys (): boolean {
    return this.declaration.workspaces !== undefined
  }

  /**
   * Finds the route of a request and checks its key.
   *
   * @param host host name without port
   * @param path path with or without query
   * @param key the caller's key, if it sent one
   */
  match (host: string, path: string, key: string | undefined): RouteMatch {
    const route = this.findRoute(host, path)
    if (route === undefined) return { ok: false, denial: RouteDenial.NoRoute }
    if (route.open || !this.needsKeys) return { ok: true, route, workspace: undefined }
    const workspace = this.workspaceOf(key)
    return workspace === undefined ? { ok: false, denial: RouteDenial.UnknownKey } : { ok: true, route, workspace }
  }

  /** Finds the route with the longest matching prefix, regardless of keys. */
  findRoute (host: string, path: string): Route | undefined {
    return this.#routes.get(host)?.find((candidate) => path.startsWith(candidate.pathPrefix))
  }

  /** Looks up the workspace of a key. */
  workspaceOf (key: string | undefined): string | undefined {
    return key === undefined ? undefined : this.#workspaces.get(key)
  }

  /**
   * Returns the homes of a request: those of its route and those of its workspace both bind.
   *
   * @param route the route that it matched; its homes in this declaration count, and its own ones if it is no longer declared
   */
  homesOf ({ name, homes }: Pick<Route, 'name' | 'homes'>, workspace: string | undefined): HomeRegions {
    const declared = this.#routesByName.get(name)
    return intersectHomes(declared === undefined ? homes : declared.homes, workspace === undefined ? undefined : this.#workspaceHomes.get(workspace))
  }

  /** Returns the regions that are homes of all routes of a host name that have any; undefined if none has. */
  homesOfHost (host: string): HomeRegions {
    return intersectHomes(...(this.#routes.get(host) ?? []).map(({ homes }) => homes))
  }

  /** Looks up a declared service by name. */
  service (name: string): DeclaredService | undefined {
    return this.#services.get(name)
  }
}

/**
 * Selects the service for a request at random, weighted by the shares of its route.
 *
 * @param draw a random number in [0, 1)
 * @example
 * drawService(route, Math.random())
 */
export function drawService (route: Route, draw: number): string {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0)
  let left = draw * total
  for (const share of route.shares) {
    left -= share.weight
    if (left < 0) return share.service
  }
  return route.shares.at(-1)?.service ?? ''
}
