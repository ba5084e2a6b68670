/** Waits for a number of milliseconds. */
export async function sleep (milliseconds) {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Waits until a condition holds; throws after a timeout. */
export async function until (what, condition, timeoutMs) {
  const deadline = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() >= deadline) throw new Error(`timed out waiting until ${what}`)
    await sleep(20)
  }
}
