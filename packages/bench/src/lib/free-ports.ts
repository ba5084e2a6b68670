import { createServer } from 'node:net'

/**
 * The range lies below the ephemeral ports, which an outgoing connection could
 * take between the check and the use.
 */
const FIRST_PORT = 10_000
const LAST_PORT = 32_000

/** Distance between the start ports of processes with adjacent ids, so that they seldom try the same ports. */
const PORTS_PER_PROCESS = 61

let nextPort = FIRST_PORT + process.pid * PORTS_PER_PROCESS % (LAST_PORT - FIRST_PORT)

/**
 * Finds ports that are currently free on loopback; successive calls return different ports until the range wraps.
 *
 * @param count number of ports
 * @example
 * const [peer, caller] = await findFreePorts(2)
 */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = nextPort
    nextPort = nextPort < LAST_PORT ? nextPort + 1 : FIRST_PORT
    if (await isPortFree(port)) ports.push(port)
  }
  return ports
}

async function isPortFree (port: number): Promise<boolean> {
  return await new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
