import { answerJson, HttpStandin } from './http-standin.js'
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
  loseReportAnswers: boolean
}

/** Stand-in for the platform's host list, endpoint ordering and usage intake. */
export class PlatformStandin {
  readonly faults: PlatformFaults = { down: false, noCapacity: false, loseReportAnswers: false }
  readonly reports: ReceivedReport[] = []
  readonly orders: FleetOrder[] = []
  hosts: PlatformHost[] = []
  fleet: OrderedEndpoint[] = []
  /** Carries orders out; without it they are only noted. */
  ordering: PlatformFleet | undefined
  readonly #http = new HttpStandin(async (request) => await this.#answer(request))

  get url (): string {
    return this.#http.url
  }

  async listen (port = 0): Promise<string> {
    return await this.#http.listen(port)
  }

  async close (): Promise<void> {
    await this.#http.close()
  }

  async #answer (request: StandinRequest): Promise<void> {
    if (this.faults.down) {
      answerJson(request.response, 503, {})
      return
    }
    const { pathname } = request.url
    if (pathname === '/hosts') answerJson(request.response, 200, { hosts: this.hosts })
    else if (pathname === '/fleet') answerJson(request.response, 200, { endpoints: [...this.fleet, ...this.ordering?.list() ?? []] })
    else if (pathname === '/fleet/orders') await this.#order(request)
    else if (pathname.startsWith('/usage/')) this.#report(request)
    else answerJson(request.response, 404, {})
  }

  async #order (request: StandinRequest): Promise<void> {
    if (this.faults.noCapacity) {
      answerJson(request.response, 409, { error: 'none to be had' })
      return
    }
    const order = JSON.parse(request.body.toString('utf8')) as FleetOrder
    this.orders.push(order)
    const had = await this.ordering?.order(order) ?? true
    answerJson(request.response, had ? 200 : 409, {})
  }

  #report (request: StandinRequest): void {
    const { epoch, ...report } = JSON.parse(request.body.toString('utf8')) as UsageWindow & { epoch: number }
    this.reports.push({ epoch, report })
    if (this.faults.loseReportAnswers) request.response.destroy()
    else answerJson(request.response, 200, {})
  }
}
