/** Phases of the start of a process, in their order. */
export enum StartPhase {
  /** The runtime starts and evaluates the program. */
  Program = 'program',
  /** The settings are read and decoded. */
  Settings = 'settings',
  /** The cluster secret is read from the store, while the deployment is. */
  Secret = 'secret',
  /** The ports are opened. */
  Ports = 'ports',
  /** The rest of reading the declaration and the endpoints from the store. */
  Deployment = 'deployment'
}

/** Microseconds per millisecond. */
const US_PER_MS = 1_000

/**
 * Measures the phases of the start of this process: the time that passed, and the time of a
 * processor that the process used, which tells waiting from computing on a busy machine.
 *
 * @example
 * const timer = new StartTimer()
 * timer.endPhase(StartPhase.Program)
 * log.record(LogEvent.StartMeasured, timer.fields()) // { programMs: 190, programProcessorMs: 180 }
 */
export class StartTimer {
  readonly #fields: Record<string, number> = {}
  #endedAt = 0
  #usedMs = 0

  /** Ends a phase, which began with the end of the phase before or with the process. */
  endPhase (phase: StartPhase): void {
    const now = performance.now()
    const usage = process.cpuUsage()
    const usedMs = (usage.user + usage.system) / US_PER_MS
    this.#fields[`${phase}Ms`] = Math.round(now - this.#endedAt)
    this.#fields[`${phase}ProcessorMs`] = Math.round(usedMs - this.#usedMs)
    this.#endedAt = now
    this.#usedMs = usedMs
  }

  /** Returns the times of the phases that have ended, in milliseconds. */
  fields (): Readonly<Record<string, number>> {
    return this.#fields
  }
}
