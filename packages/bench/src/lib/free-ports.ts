import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'

/**
 * Finds ports of the loopback address that are free now.
 *
 * @param count how many
 * @example
 * const [peer, caller] = await freePorts(2)
 */
export async function freePorts (count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, openPort))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map((server) => new Promise<void>((resolve) => server.close(() => resolve()))))
  return ports
}

async function openPort (): Promise<Server> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', () => resolve()))
  return server
}
