import { sendJson, HttpStandin } from './http-standin.js'
import type { FleetOrder, OrderedEndpoint, PlatformHost, UsageWindow } from '@cyclamenthread/protocol'
import type { StandinRequest } from './http-standin.js'
import type { PlatformFleet } from './platform-fleet-standin.js'

/** A usage report as it arrived. */
export interface ReceivedReport {
  readonly epoch: number
  readonly report: UsageWindow
}

/** Faults the platform can be told to have. */
export interface PlatformFaults {
  down: boolean
  /** Refuses orders to start endpoints, as when none are to be had. */
  noCapacity: boolean
  /** Takes the report but cuts the connection instead of answering. */
  dropReportResponses: boolean
}

/** Stand-in for the platform's host list, endpoint ordering and usage intake. */
export class PlatformStandin {
  readonly faults: PlatformFaults = { down: false, noCapacity: false, dropReportResponses: false }
  readonly reports: ReceivedReport[] = []
  readonly orders: FleetOrder[] = []
  hosts: PlatformHost[] = []
  fleet: OrderedEndpoint[] = []
  /** Carries orders out; without it they are only noted. */
  fleetSimulator: PlatformFleet | undefined
  readonly #http = new HttpStandin(async (request) => await this.#handleRequest(request))

  get url (): string {
    return this.#http.url
  }

  async listen (port = 0): Promise<string> {
    return await this.#http.listen(port)
  }

  async close (): Promise<void> {
    await this.#http.close()
  }

  async #handleRequest (request: StandinRequest): Promise<void> {
    if (this.faults.down) {
      sendJson(request.response, 503, {})
      return
    }
    const { pathname } = request.url
    if (pathname === '/hosts') sendJson(request.response, 200, { hosts: this.hosts })
    else if (pathname === '/fleet') sendJson(request.response, 200, { endpoints: [...this.fleet, ...this.fleetSimulator?.list() ?? []] })
    else if (pathname === '/fleet/orders') await this.#handleOrder(request)
    else if (pathname.startsWith('/usage/')) this.#handleUsageReport(request)
    else sendJson(request.response, 404, {})
  }

  async #handleOrder (request: StandinRequest): Promise<void> {
    if (this.faults.noCapacity) {
      sendJson(request.response, 409, { error: 'none to be had' })
      return
    }
    const order = JSON.parse(request.body.toString('utf8')) as FleetOrder
    this.orders.push(order)
    const isAccepted = await this.fleetSimulator?.order(order) ?? true
    sendJson(request.response, isAccepted ? 200 : 409, {})
  }

  #handleUsageReport (request: StandinRequest): void {
    const { epoch, ...report } = JSON.parse(request.body.toString('utf8')) as UsageWindow & { epoch: number }
    this.reports.push({ epoch, report })
    if (this.faults.dropReportResponses) request.response.destroy()
    else sendJson(request.response, 200, {})
  }
}
