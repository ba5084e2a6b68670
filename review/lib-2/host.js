import { spawn } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))

/** Command and variables of a role, as the deploy file has them. */
function deployedRole (role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = text.split(/^\[/m).find((part) => part.startsWith(`roles.${role}]`)) ?? ''
  const run = /^run = "([^"]+)"/m.exec(section)?.[1]
  if (run === undefined) throw new Error(`the deploy file has no role ${role}`)
  const env = /^env = \{(.*)\}/m.exec(section)?.[1] ?? ''
  return { command: run.split(' '), env: Object.fromEntries([...env.matchAll(/(\w+) = "([^"]*)"/g)].map(([, name, value]) => [name, value])) }
}

/** One entry host: the project's program with the command of the deploy file, as a process of its own. */
export class Host {
  id
  ip
  place
  front
  /** Exit code or signal of the last process; undefined while it runs. */
  end
  /** Called with each event of its log. */
  onEvent = () => {}
  /** Called with the exit code or signal of a process that ends. */
  onEnd = () => {}
  #settingsPath
  #logPath
  #child

  constructor ({ id, ip, zone, region, zones }, { store, cloud, folder, graceS = 8, memoryMb = 350 }) {
    this.id = id
    this.ip = ip
    this.place = { zone, region }
    this.front = `${ip}:8405`
    this.#settingsPath = join(folder, `${id}.json`)
    this.#logPath = join(folder, `${id}.log`)
    writeFileSync(this.#logPath, '')
    writeFileSync(this.#settingsPath, JSON.stringify({
      nodeName: id,
      role: 'entry',
      machineClass: 'edge',
      serves: ['edge', 'registry'],
      ip,
      zone,
      region,
      zones,
      listen: { front: this.front, ready: `${ip}:8406`, directory: `${ip}:8404` },
      portRange: [7660, 7675],
      seeds: [],
      firstStart: true,
      lossCounts: true,
      limits: { cpuShare: 0.675, cores: 1, memoryMb, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
      dataDir: null,
      discovery: 'platform',
      entry: 'registry',
      heartbeatMs: 1200,
      bounds: { contactMs: 4000, ackMs: 5000, drainMs: 2500, graceS, configMs: 2500, requireFence: false, leaseMs: 3000, thawMs: 300, usageWindowS: 5, usageLateS: 10, cancelMs: 3000, settleMs: 1000, ttl_max_s: 5 },
      platform: { address: store, form: 'objects', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1_048_576 },
      cloudApi: { address: cloud, duties: ['metering', 'autoscale'], dutyPerS: 50 }
    }))
  }

  get pid () {
    return this.#child?.pid
  }

  get isRunning () {
    return this.#child !== undefined && this.end === undefined
  }

  start () {
    const { command: [program, ...args], env } = deployedRole('entry')
    this.end = undefined
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? '', UV_USE_IO_URING: '0', CYCLAMENTHREAD_NODE_FILE: this.#settingsPath, ...env },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    this.#child = child
    child.once('exit', (code, signal) => {
      if (this.#child === child) this.end = signal ?? code
      this.onEnd(signal ?? code)
    })
    for (const stream of [child.stdout, child.stderr]) createInterface({ input: stream }).on('line', (line) => this.#readLine(line))
  }

  signal (name) {
    if (this.isRunning) this.#child.kill(name)
  }

  async stop () {
    this.signal('SIGCONT')
    this.signal('SIGKILL')
    while (this.isRunning) await new Promise((resolve) => setTimeout(resolve, 10))
  }

  /** Whether the platform's readiness check gets a 200 within a time. */
  async isReady (timeoutMs = 1_000) {
    return await fetch(`http://${this.ip}:8406/-/readyz`, { signal: AbortSignal.timeout(timeoutMs), headers: { connection: 'close' } }).then(async (response) => {
      await response.arrayBuffer()
      return response.status === 200
    }, () => false)
  }

  #readLine (line) {
    writeFileSync(this.#logPath, `${line}\n`, { flag: 'a' })
    if (!line.startsWith('{')) return
    try {
      this.onEvent(JSON.parse(line))
    } catch {
      // The last line of a process that was killed may be cut off.
    }
  }
}
