import { once } from 'node:events'
import { spawn } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import test from 'ava'

/** Lines that fill the pipe to a reader that is late, so that their write is still under way when the process ends. */
const LINES = 3_000

/** Time from the start of the process until its reader begins to read, and until its last line, in milliseconds. */
const READ_AT_MS = 2_500
const STOP_AT_MS = 2_000

const PROGRAM = `
import { JsonLog } from ${JSON.stringify(fileURLToPath(new URL('../lib/json-log.ts', import.meta.url)))}
const log = new JsonLog('h1')
for (let line = 0; line < ${LINES}; line += 1) log.record('stopping', { line })
setTimeout(async () => {
  log.record('stopped', {})
  await log.flush()
  process.exit(0)
}, ${STOP_AT_MS} - performance.now())
`

// Guards against a stop whose last lines are lost, because a flush returned at once while an earlier write was under way, or because its reader was behind.
test('a flush writes the lines that were recorded while an earlier write was under way', async (t) => {
  const child = spawn('sh', ['-c', `"$0" --import=tsx --input-type=module --eval "$1" | (sleep ${READ_AT_MS / 1_000}; cat)`, process.execPath, PROGRAM], { stdio: ['ignore', 'pipe', 'inherit'] })
  t.teardown(() => child.kill('SIGKILL'))
  let text = ''
  child.stdout.on('data', (bytes) => {
    text += String(bytes)
  })
  await once(child, 'close')
  const lines = text.trimEnd().split('\n').map((line) => JSON.parse(line) as { readonly event: string })
  t.is(lines.length, LINES + 1)
  t.is(lines.at(-1)?.event, 'stopped')
})
