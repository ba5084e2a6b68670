import { connect, createServer } from 'node:net'

/** A proxy for one machine's connections to one address. While it is cut, it carries nothing either way and closes nothing. */
export class Link {
  address = ''
  #target
  #server
  #pairs = new Set()
  #isCut = false
  #delayMs

  /**
   * @param target IP address and port
   * @param delayMs time that bytes take on the way, in milliseconds
   */
  constructor (target, delayMs = 0) {
    this.#delayMs = delayMs
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
    for (const sockets of this.#pairs) for (const socket of sockets) socket.pause()
  }

  heal () {
    this.#isCut = false
    for (const sockets of this.#pairs) for (const socket of sockets) socket.resume()
  }

  close () {
    this.#server.close()
    for (const sockets of this.#pairs) for (const socket of sockets) socket.destroy()
  }

  #join (near) {
    const far = connect({ ...this.#target, allowHalfOpen: true })
    const pair = [near, far]
    this.#pairs.add(pair)
    for (const [from, to] of [[near, far], [far, near]]) {
      from.setNoDelay(true)
      from.on('data', (chunk) => {
        if (this.#delayMs > 0) setTimeout(() => to.write(chunk), this.#delayMs)
        else if (!to.write(chunk)) from.pause()
      })
      to.on('drain', () => {
        if (!this.#isCut) from.resume()
      })
      from.on('end', () => setTimeout(() => to.end(), this.#delayMs))
      from.on('error', () => to.resetAndDestroy())
      from.on('close', () => {
        to.destroy()
        this.#pairs.delete(pair)
      })
      if (this.#isCut) from.pause()
    }
  }
}
