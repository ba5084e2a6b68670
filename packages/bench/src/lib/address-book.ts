/** What a host answers to who asks for addresses. */
interface AddressAnswer {
  readonly addresses: ReadonlyArray<{ readonly url: string }>
  readonly notAfter: string
}

/** Longest a host may take to answer who asks for addresses, in milliseconds. */
const ASK_MS = 2_000

/**
 * The addresses of the service as a caller keeps them: asked from any host
 * known, kept until `notAfter`, then asked again.
 */
export class AddressBook {
  #urls: readonly string[]
  #notAfter = 0
  #next = 0

  /** @param seeds base URLs known from the start */
  constructor (seeds: readonly string[]) {
    this.#urls = seeds
  }

  /** The next host to use, in turn. */
  async next (): Promise<string> {
    if (Date.now() >= this.#notAfter) await this.#refresh()
    this.#next += 1
    return this.#urls[this.#next % this.#urls.length] ?? ''
  }

  async #refresh (): Promise<void> {
    for (const url of this.#urls) {
      const answer = await ask(url)
      if (answer === undefined || answer.addresses.length === 0) continue
      this.#urls = answer.addresses.map((address) => address.url)
      this.#notAfter = Date.parse(answer.notAfter)
      return
    }
  }
}

async function ask (url: string): Promise<AddressAnswer | undefined> {
  try {
    const response = await fetch(`${url}/v1/addresses`, { signal: AbortSignal.timeout(ASK_MS) })
    return response.ok ? await response.json() as AddressAnswer : undefined
  } catch {
    return undefined
  }
}
