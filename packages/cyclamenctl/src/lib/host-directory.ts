import { request } from 'undici'
import * as z from 'zod'
import { PlatformClient } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { failedReport } from './command.js'
import { ExitCode } from './exit-code.js'
import type { CommandFlags, FailedReport } from './command.js'

/** Timeout for a request to a host or to the platform, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 3_000

const addressesSchema = z.object({
  addresses: z.array(z.object({ url: z.string(), region: z.string(), failureDomain: z.string() }))
})
const readinessSchema = z.object({ ready: z.boolean(), catalogueRevision: z.int(), leaving: z.boolean() })

export type HostAddress = z.infer<typeof addressesSchema>['addresses'][number]

/** Readiness as a host reports it. */
export type Readiness = z.infer<typeof readinessSchema>

/**
 * Fetches the hosts that accept new requests, as listed by the first host that answers.
 *
 * @param flags contain the URLs of hosts or of the platform to ask
 * @example
 * await fetchLiveHosts({ hostUrl: ['http://127.0.0.1:8000'] })
 */
export async function fetchLiveHosts (flags: CommandFlags): Promise<{ readonly ok: true, readonly hosts: readonly HostAddress[] } | FailedReport> {
  const seeds = await findSeedUrls(flags)
  if (seeds.length === 0) return failedReport(ExitCode.Usage, '--host-url (CYCLAMENCTL_HOST_URL) or --platform-url (CYCLAMENTHREAD_PLATFORM_URL) is missing; expected the base URL of a host')
  for (const seed of seeds) {
    const parsed = addressesSchema.safeParse(await fetchJson(`${seed}/v1/addresses`))
    if (parsed.success) return { ok: true, hosts: parsed.data.addresses }
  }
  return failedReport(ExitCode.Unavailable, `no host answered; asked ${seeds.join(', ')}`)
}

/** Fetches the readiness and the catalogue revision of a host; undefined if it doesn't answer. */
export async function fetchReadiness (url: string): Promise<Readiness | undefined> {
  return readinessSchema.safeParse(await fetchJson(`${url}/readyz`)).data
}

/**
 * Fetches a JSON document from a host, whatever the HTTP status; undefined if
 * the request fails or the body isn't JSON.
 *
 * @param url URL of the document
 * @param token operator token, if the route requires one
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

/** URLs of hosts to ask: first those from the flags, then those from the platform's host list, which may be out of date. */
async function findSeedUrls (flags: CommandFlags): Promise<string[]> {
  const given = (flags.hostUrl ?? []).map((url) => url.replace(/\/$/, ''))
  if (flags.platformUrl === undefined) return given
  const platform = new PlatformClient(flags.platformUrl)
  const listed = await platform.hosts({ deadline: deadlineAfter(RESPONSE_TIMEOUT_MS) })
  await platform.close()
  return listed.ok ? [...given, ...listed.value.map((host) => host.callerUrl)] : given
}
