import { createServer } from 'node:net'

/** First and last second octet of the loopback networks that a case may use. */
const FIRST_NETWORK = 40
const NETWORKS = 200

/**
 * Picks a loopback network (127.a.b.0/24) on which the ports of a host are free, so that
 * several cases can run on one machine at the same time.
 */
export async function pickNetwork () {
  for (let attempt = 0; attempt < 20; attempt += 1) {
    const network = `127.${FIRST_NETWORK + Math.floor(Math.random() * NETWORKS)}.${Math.floor(Math.random() * 250)}`
    if (await isFree(`${network}.100`, 8405)) return network
  }
  throw new Error('no free loopback network')
}

async function isFree (host, port) {
  return await new Promise((resolve) => {
    const probe = createServer()
    probe.once('error', () => resolve(false))
    probe.listen(port, host, () => probe.close(() => resolve(true)))
  })
}

/** Listens on a free port of an address; returns `address:port`. */
export async function listen (server, host, port = 0) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return `${host}:${server.address().port}`
}

export async function sleep (milliseconds) {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
