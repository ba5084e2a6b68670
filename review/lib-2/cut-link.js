import { connect, createServer } from 'node:net'

/**
 * A proxy for one machine's connections to one address that can be cut as a network is.
 * Bytes that were sent just before the cut, on a connection that was open, are held until they are
 * sent again some time after the end of the cut, also if their sender has ended meanwhile, unless
 * it has reset the connection. Connections that begin during the cut come to nothing.
 */
export class CutLink {
  address = ''
  /** Called with the first bytes of each connection before they are passed on. */
  onFirstBytes = () => {}
  #target
  #server
  #pairs = new Set()
  #isCut = false

  /** @param target IP address and port */
  constructor (target) {
    const [host, port] = target.split(':')
    this.#target = { host, port: Number(port) }
    this.#server = createServer({ allowHalfOpen: true }, (near) => this.#join(near))
  }

  async listen (ip) {
    await new Promise((resolve) => this.#server.listen(0, ip, resolve))
    this.address = `${ip}:${this.#server.address().port}`
  }

  cut () {
    this.#isCut = true
  }

  /** Ends the cut. What it held is sent again after a time, in milliseconds. */
  heal (resendAfterMs) {
    this.#isCut = false
    for (const pair of this.#pairs) {
      if (pair.isLost) pair.near.destroy()
      else if (pair.held.length > 0) setTimeout(() => this.#resend(pair), resendAfterMs)
    }
  }

  close () {
    this.#server.close()
    for (const { near, far } of this.#pairs) {
      near.destroy()
      far?.destroy()
    }
  }

  #resend ({ far, held, isReset, hasEnded }) {
    if (isReset) return
    for (const chunk of held) far.write(chunk)
    if (hasEnded) far.end()
  }

  #join (near) {
    const pair = { near, far: undefined, held: [], isLost: this.#isCut, isReset: false, hasEnded: false }
    this.#pairs.add(pair)
    near.setNoDelay(true)
    near.on('error', () => {
      pair.isReset = true
      pair.far?.destroy()
    })
    if (pair.isLost) {
      near.resume()
      return
    }
    pair.far = connect({ ...this.#target, allowHalfOpen: true })
    pair.far.setNoDelay(true)
    let isFirst = true
    near.on('data', (chunk) => {
      if (isFirst) this.onFirstBytes(chunk)
      isFirst = false
      if (this.#isCut) pair.held.push(chunk)
      else pair.far.write(chunk)
    })
    near.on('end', () => {
      pair.hasEnded = true
      if (!this.#isCut && pair.held.length === 0) pair.far.end()
    })
    pair.far.on('data', (chunk) => {
      if (!this.#isCut && !near.destroyed) near.write(chunk)
    })
    pair.far.on('end', () => near.end())
    pair.far.on('error', () => near.destroy())
  }
}
