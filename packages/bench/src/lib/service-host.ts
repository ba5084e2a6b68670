import { spawn } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { readSettings, Service } from 'cyclamenthread'
import type { BatchCounters } from '@cyclamenthread/coordination'
import type { ServiceOptions } from 'cyclamenthread'
import type { ChildProcess } from 'node:child_process'

/** Settings of a service process, by environment variable. */
export type HostEnvironment = Readonly<Record<string, string>>

/** A running host of the service. */
export interface ServiceHost {
  /** Drains the host, as a planned stop does, and ends it. */
  drain (): Promise<void>
  /** Ends the host without a drain. */
  kill (): Promise<void>
}

/** A host in this process, for the demo, tests and experiments. */
export class EmbeddedHost implements ServiceHost {
  readonly #service: Service

  private constructor (service: Service) {
    this.#service = service
  }

  static async start (environment: HostEnvironment, options: ServiceOptions = {}): Promise<EmbeddedHost> {
    const settings = readSettings({}, environment)
    if (!settings.ok) throw new Error(settings.failure.join('\n'))
    const service = new Service(settings.value, options)
    await service.start()
    return new EmbeddedHost(service)
  }

  async drain (): Promise<void> {
    await this.#service.drain()
  }

  /** Counters of the samples in this host's batches. */
  get sampleCounters (): BatchCounters {
    return this.#service.sampleCounters
  }

  async kill (): Promise<void> {
    await this.#service.stop()
  }
}

/** A host in a child process. */
export class ProcessHost implements ServiceHost {
  readonly #child: ChildProcess
  readonly #exited: Promise<void>

  private constructor (child: ChildProcess) {
    this.#child = child
    this.#exited = new Promise((resolve) => child.once('exit', () => resolve()))
  }

  static async start (environment: HostEnvironment): Promise<ProcessHost> {
    const program = fileURLToPath(import.meta.resolve('cyclamenthread')).replace(/(src|dist)\/index\.[tj]s$/, 'bin/cyclamenthread.js')
    const child = spawn(process.execPath, [program], {
      env: { PATH: process.env['PATH'] ?? '', UV_USE_IO_URING: '0', ...environment },
      stdio: ['ignore', 'ignore', 'inherit']
    })
    const host = new ProcessHost(child)
    process.once('exit', () => child.kill('SIGKILL'))
    await host.#waitUntilLive(environment['CYCLAMENTHREAD_CALLER_ADDRESS'] ?? '')
    return host
  }

  /** Process id. */
  get pid (): number {
    return this.#child.pid ?? 0
  }

  /** Sends a signal to the process, such as SIGSTOP to pause it. */
  sendSignal (signal: NodeJS.Signals): void {
    this.#child.kill(signal)
  }

  async drain (): Promise<void> {
    this.#child.kill('SIGTERM')
    await this.#exited
  }

  async kill (): Promise<void> {
    this.#child.kill('SIGKILL')
    await this.#exited
  }

  async #waitUntilLive (address: string): Promise<void> {
    while (this.#child.exitCode === null) {
      const alive = await fetch(`http://${address}/livez`).then((response) => response.ok, () => false)
      if (alive) return
      await new Promise((resolve) => setTimeout(resolve, 50))
    }
    throw new Error('the service process exited before it was live')
  }
}
