import { timeLeft } from '@cyclamenthread/transport'
import { rolloutDeadline } from '../await-revision.js'
import { failedReport } from '../command.js'
import { ExitCode } from '../exit-code.js'
import { fetchJson } from '../host-directory.js'
import { connectOperatorClient } from '../operator-client.js'
import type { Command } from '../command.js'

/** Interval between two polls of the host, in milliseconds. */
const POLL_INTERVAL_MS = 200

/** Result of `drain`. */
export interface DrainResult {
  readonly host: string
  readonly url: string
  /** Whether the host has shut down; false if it was still draining at the end of the wait. */
  readonly left: boolean
}

/** `cyclamenctl drain`: shuts a host down after it has finished its requests. */
export const drain: Command<DrainResult> = {
  words: 'drain',
  parameters: ['host-id'],
  flags: ['hostUrl', 'platformUrl', 'timeoutSeconds'],
  summary: 'Drain a host: let it finish its requests and shut down',
  help: `The host is removed from the address list at once. It keeps serving until the last
address it gave out has expired and its requests are finished, and then shuts down.
Needs the operator token in CYCLAMENTHREAD_OPERATOR_TOKEN. Exit code 6 if the host is
still running at the end of the wait; it continues to drain.

Example
  cyclamenctl drain host-leith-walk-0 --host-url http://10.0.0.1:8000`,
  run: async (context) => {
    const id = context.input[0] ?? ''
    const client = await connectOperatorClient(context)
    if (!client.ok) return client
    const status = await client.value.readStatus()
    if (!status.ok) return status
    const host = status.value.hosts.find((known) => known.id === id)
    if (host === undefined) return failedReport(ExitCode.Usage, `unknown host ${id}; expected one of ${status.value.hosts.map((known) => known.id).join(', ')}`)
    const accepted = await client.value.forHost(host.callerUrl).requestDrain()
    if (!accepted.ok) return accepted
    const left = await awaitShutdown(host.callerUrl, rolloutDeadline(context.flags))
    return { ok: true, exit: left ? ExitCode.Success : ExitCode.Incomplete, result: { host: id, url: host.callerUrl, left } }
  },
  render: (result) => [result.left ? `${result.host} has shut down` : `${result.host} is still draining`]
}

async function awaitShutdown (url: string, deadline: number): Promise<boolean> {
  while (timeLeft(deadline) > 0) {
    if (await fetchJson(`${url}/livez`) === undefined) return true
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
  return false
}
