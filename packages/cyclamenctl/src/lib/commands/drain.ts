import { timeLeft } from '@cyclamenthread/transport'
import { rolloutDeadline } from '../await-revision.js'
import { failedReport } from '../command.js'
import { ExitCode } from '../exit-code.js'
import { fetchJson } from '../host-directory.js'
import { connectOperatorClient } from '../operator-client.js'
import type { Command } from '../command.js'

/** Pause between two looks at the host, in milliseconds. */
const POLL_INTERVAL_MS = 200

/** A host that was asked to leave. */
export interface DrainResult {
  readonly host: string
  readonly url: string
  /** Whether it has gone; false when it still had requests to finish when the wait ended. */
  readonly left: boolean
}

/** `cyclamenctl drain`: has a host finish what it has and leave. */
export const drain: Command<DrainResult> = {
  words: 'drain',
  parameters: ['host-id'],
  flags: ['hostUrl', 'platformUrl', 'timeoutSeconds'],
  summary: 'Have a host finish what it has and leave',
  help: `The host leaves the address list at once, goes on serving until the last address it
gave out has expired and its requests are done, and then ends. Needs the operator token
in CYCLAMENTHREAD_OPERATOR_TOKEN. Exit code 6 when the host is still there at the end
of the wait; it goes on draining.

Example
  cyclamenctl drain host-leith-walk-0 --host-url http://10.0.0.1:8000`,
  run: async (context) => {
    const id = context.input[0] ?? ''
    const client = await connectOperatorClient(context)
    if (!client.ok) return client
    const status = await client.value.readStatus()
    if (!status.ok) return status
    const host = status.value.hosts.find((known) => known.id === id)
    if (host === undefined) return failedReport(ExitCode.Usage, `host ${id} is not known; expected one of ${status.value.hosts.map((known) => known.id).join(', ')}`)
    const accepted = await client.value.forHost(host.callerUrl).requestDrain()
    if (!accepted.ok) return accepted
    const left = await awaitShutdown(host.callerUrl, rolloutDeadline(context.flags))
    return { ok: true, exit: left ? ExitCode.Success : ExitCode.Incomplete, result: { host: id, url: host.callerUrl, left } }
  },
  render: (result) => [result.left ? `${result.host} has left` : `${result.host} is still draining`]
}

async function awaitShutdown (url: string, deadline: number): Promise<boolean> {
  while (timeLeft(deadline) > 0) {
    if (await fetchJson(`${url}/livez`) === undefined) return true
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
  return false
}
