/** Source of time; injected so that tests can stop it or change its rate. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now (): number
  /** Monotonic time in milliseconds that also counts while the machine is suspended; not comparable with `now()`. */
  elapsed (): number
  /** Wall-clock time in milliseconds since 1970; may jump. */
  wall (): number
  /** Resolves after a number of milliseconds. */
  sleep (milliseconds: number): Promise<void>
}
