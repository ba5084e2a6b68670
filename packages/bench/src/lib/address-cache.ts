/** Response of a host to `GET /v1/addresses`. */
interface AddressListResponse {
  readonly addresses: ReadonlyArray<{ readonly url: string }>
  readonly notAfter: string
}

/** Timeout of a request for the address list, in milliseconds. */
const ADDRESS_REQUEST_TIMEOUT_MS = 2_000

/**
 * Caches the address list of the service on the caller's side. The list is
 * fetched from the first known host that answers and used until its `notAfter`.
 */
export class AddressCache {
  #urls: readonly string[]
  #notAfter = 0
  #nextIndex = 0

  /** @param seeds base URLs of the hosts to ask first */
  constructor (seeds: readonly string[]) {
    this.#urls = seeds
  }

  /** Returns the base URL of the next host, in round-robin order. */
  async nextUrl (): Promise<string> {
    if (Date.now() >= this.#notAfter) await this.#refresh()
    this.#nextIndex += 1
    return this.#urls[this.#nextIndex % this.#urls.length] ?? ''
  }

  async #refresh (): Promise<void> {
    for (const url of this.#urls) {
      const answer = await fetchAddresses(url)
      if (answer === undefined || answer.addresses.length === 0) continue
      this.#urls = answer.addresses.map((address) => address.url)
      this.#notAfter = Date.parse(answer.notAfter)
      return
    }
  }
}

async function fetchAddresses (url: string): Promise<AddressListResponse | undefined> {
  try {
    const response = await fetch(`${url}/v1/addresses`, { signal: AbortSignal.timeout(ADDRESS_REQUEST_TIMEOUT_MS) })
    return response.ok ? await response.json() as AddressListResponse : undefined
  } catch {
    return undefined
  }
}
