import { request } from 'undici'
import * as z from 'zod'
import { PlatformClient } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { failedReport } from './command.js'
import { ExitCode } from './exit-code.js'
import type { CommandFlags, FailedReport } from './command.js'

/** Longest one host is waited for, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 3_000

const addressesSchema = z.object({
  addresses: z.array(z.object({ url: z.string(), region: z.string(), failureDomain: z.string() }))
})
const readinessSchema = z.object({ ready: z.boolean(), catalogueRevision: z.int(), leaving: z.boolean() })

export type HostAddress = z.infer<typeof addressesSchema>['addresses'][number]

/** What a host says of itself; undefined when it does not answer. */
export type Readiness = z.infer<typeof readinessSchema>

/**
 * The hosts that take new work, as the first host that answers knows them.
 *
 * @param flags where to look: any host's URL, or the platform's list
 * @example
 * await liveHosts({ hostUrl: ['http://127.0.0.1:8000'] })
 */
export async function fetchLiveHosts (flags: CommandFlags): Promise<{ readonly ok: true, readonly hosts: readonly HostAddress[] } | FailedReport> {
  const seeds = await findSeedUrls(flags)
  if (seeds.length === 0) return failedReport(ExitCode.Usage, '--host-url (CYCLAMENCTL_HOST_URL) or --platform-url (CYCLAMENTHREAD_PLATFORM_URL) is missing; expected the base URL of a host')
  for (const seed of seeds) {
    const parsed = addressesSchema.safeParse(await fetchJson(`${seed}/v1/addresses`))
    if (parsed.success) return { ok: true, hosts: parsed.data.addresses }
  }
  return failedReport(ExitCode.Unavailable, `no host answers; asked ${seeds.join(', ')}`)
}

/** Asks a host whether it is ready and which revision is in force on it. */
export async function fetchReadiness (url: string): Promise<Readiness | undefined> {
  return readinessSchema.safeParse(await fetchJson(`${url}/readyz`)).data
}

/**
 * A JSON document of a host, whatever its status; undefined when there is none.
 *
 * @param url where to ask
 * @param token operator token, where the route needs one
 */
export async function fetchJson (url: string, token?: string): Promise<unknown> {
  try {
    const response = await request(url, {
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
      headersTimeout: RESPONSE_TIMEOUT_MS,
      bodyTimeout: RESPONSE_TIMEOUT_MS,
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS)
    })
    return await response.body.json()
  } catch {
    return undefined
  }
}

/** URLs to begin with: those given, then the hosts of the platform's list, which may lag. */
async function findSeedUrls (flags: CommandFlags): Promise<string[]> {
  const given = (flags.hostUrl ?? []).map((url) => url.replace(/\/$/, ''))
  if (flags.platformUrl === undefined) return given
  const platform = new PlatformClient(flags.platformUrl)
  const listed = await platform.hosts({ deadline: deadlineAfter(RESPONSE_TIMEOUT_MS) })
  await platform.close()
  return listed.ok ? [...given, ...listed.value.map((host) => host.callerUrl)] : given
}
