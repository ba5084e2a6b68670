import { createServer } from 'node:net'

/**
 * Ports below the range that the system gives to outgoing connections: one of
 * those could be taken between the look and the use.
 */
const FIRST_PORT = 10_000
const LAST_PORT = 32_000

/** Spreads the processes of one machine over the range. */
const PORTS_PER_PROCESS = 61

let nextPort = FIRST_PORT + process.pid * PORTS_PER_PROCESS % (LAST_PORT - FIRST_PORT)

/**
 * Finds ports of the loopback address that are free now, none twice.
 *
 * @param count how many
 * @example
 * const [peer, caller] = await freePorts(2)
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
