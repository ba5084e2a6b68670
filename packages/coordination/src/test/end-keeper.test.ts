import test from 'ava'
import { EndKeeper, SILENT_LOG } from '@cyclamenthread/coordination'
import { waitUntil } from './deployment-fixture.js'

// Guards against an end that is forgotten while the store is away (UNASKED), and against a store that is asked for every end again and again.
test('while the store is away a few ends are tried a second, however many there are; once it is back all are stored', async (t) => {
  let isDown = true
  let tries = 0
  const stored = new Set<string>()
  const keeper = new EndKeeper({
    storeEnd: async ({ rolloutId }) => {
      tries += 1
      if (!isDown) stored.add(rolloutId)
      return !isDown
    },
    log: SILENT_LOG
  })
  t.teardown(() => keeper.stop())
  const now = performance.now()
  for (let index = 0; index < 500; index += 1) t.true(keeper.keep({ rolloutId: `r${index}`, workspace: 'office', keepUntil: now + 60_000, tryAt: now }))
  await new Promise((resolve) => setTimeout(resolve, 3_000))
  t.true(tries >= 1 && tries <= 10, `${tries} tries in 3 s`)
  isDown = false
  await waitUntil(t, () => stored.size === 500)
  t.deepEqual(keeper.all, [])
})

test('an attempt that throws counts as failed, and the other ends are stored', async (t) => {
  const stored: string[] = []
  const keeper = new EndKeeper({
    storeEnd: async ({ rolloutId }) => {
      if (rolloutId === 'bad') throw new Error('malformed')
      stored.push(rolloutId)
      return true
    },
    log: SILENT_LOG
  })
  t.teardown(() => keeper.stop())
  const now = performance.now()
  for (const rolloutId of ['bad', 'r1', 'r2']) keeper.keep({ rolloutId, workspace: 'office', keepUntil: now + 60_000, tryAt: now })
  await waitUntil(t, () => stored.length === 2)
  t.deepEqual(keeper.all.map(({ rolloutId }) => rolloutId), ['bad'])
})
