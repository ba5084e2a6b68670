import { sendJson, HttpStandin } from './http-standin.js'
import type { FleetOrder, OrderedEndpoint, PlatformHost, UsageWindow } from '@cyclamenthread/protocol'
import type { StandinRequest } from './http-standin.js'
import type { PlatformFleet } from './platform-fleet-standin.js'

/** A usage report that the platform received. */
export interface ReceivedReport {
  readonly epoch: number
  readonly report: UsageWindow
}

/** Faults that a test can switch on. */
export interface PlatformFaults {
  /** Responds to every request with status 503. */
  down: boolean
  /** Rejects all fleet orders for lack of capacity. */
  noCapacity: boolean
  /** Accepts usage reports, but closes the connection without a response. */
  dropReportResponses: boolean
}

/** Test double of the platform's API: the host list, fleet orders and usage reports. */
export class PlatformStandin {
  readonly faults: PlatformFaults = { down: false, noCapacity: false, dropReportResponses: false }
  readonly reports: ReceivedReport[] = []
  readonly orders: FleetOrder[] = []
  hosts: PlatformHost[] = []
  fleet: OrderedEndpoint[] = []
  /** Carries out orders; if undefined, orders are only recorded. */
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
      sendJson(request.response, 409, { error: 'no capacity' })
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
