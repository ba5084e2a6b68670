/** Time as a task sees it; passed in, so that tests can hold it still or stretch it. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now (): number
  /** Wall-clock time in milliseconds since 1970; may step. */
  wall (): number
  /** Waits. */
  sleep (milliseconds: number): Promise<void>
}
