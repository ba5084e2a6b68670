import { Record } from './record.js'
import { Deployment } from './deployment.js'

/** Exit codes of a case. */
const BROKEN = 1
const HELD = 0
const NOT_RUN = 2

/** Time after which a case is given up, in milliseconds. */
const TIME_LIMIT_MS = 110_000

/**
 * Runs a case and exits with its result.
 *
 * @param path file for what was sent, answered and run
 * @param isTroubled whether the disruption takes place
 * @param play gets the deployment and the record; returns what broke the rule, or undefined
 */
export async function runCase (path, isTroubled, play) {
  const record = new Record(path)
  const deployment = new Deployment()
  record.add(isTroubled ? 'with the disruption' : 'without the disruption')
  const timer = setTimeout(async () => await end(NOT_RUN, 'the case took too long'), TIME_LIMIT_MS)
  const end = async (code, text) => {
    clearTimeout(timer)
    record.add(text)
    process.stdout.write(`${text}\n`)
    await deployment.stop()
    process.exit(code)
  }
  process.once('SIGTERM', async () => await end(NOT_RUN, 'stopped'))
  let fault
  try {
    fault = await play({ deployment, record })
  } catch (error) {
    await end(NOT_RUN, `the case could not run: ${error instanceof Error ? error.stack : String(error)}`)
    return
  }
  await end(fault === undefined ? HELD : BROKEN, fault === undefined ? 'the rule held' : `the rule is broken: ${fault}`)
}
