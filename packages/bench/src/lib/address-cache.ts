/** What a host answers to who asks for addresses. */
interface AddressListResponse {
  readonly addresses: ReadonlyArray<{ readonly url: string }>
  readonly notAfter: string
}

/** Longest a host may take to answer who asks for addresses, in milliseconds. */
const ADDRESS_REQUEST_TIMEOUT_MS = 2_000

/**
 * The addresses of the service as a caller keeps them: asked from any host
 * known, kept until `notAfter`, then asked again.
 */
export class AddressCache {
  #urls: readonly string[]
  #notAfter = 0
  #nextIndex = 0

  /** @param seeds base URLs known from the start */
  constructor (seeds: readonly string[]) {
    this.#urls = seeds
  }

  /** The next host to use, in turn. */
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
