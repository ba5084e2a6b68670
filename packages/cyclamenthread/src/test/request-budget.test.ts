import test from 'ava'
import { BodyBuffer } from '../lib/clients/body-buffer.js'
import { RequestBudget } from '../lib/clients/request-budget.js'

test('shares fit up to the limit, and what is released can be reserved again', (t) => {
  const budget = new RequestBudget(100)
  const [first, second] = [budget.openShare(), budget.openShare()]
  t.true(first.reserve(60))
  t.false(second.reserve(60))
  first.release()
  t.is(budget.used, 0)
  t.true(second.reserve(60))
  t.false(first.reserve(1), 'a released share takes nothing')
})

// Guards against a limit of memory below the declared size of a body.
test('a single body of the declared size fits whatever the limit is, in any chunks', (t) => {
  const budget = new RequestBudget(100)
  budget.setMaxBodyBytes(3_000_000)
  const body = new BodyBuffer(budget.openShare(), undefined)
  for (let sent = 0; sent < 3_000_000; sent += 1_000) t.true(body.append(Buffer.alloc(1_000, sent / 1_000)))
  const joined = body.join()
  t.is(joined.length, 3_000_000)
  t.deepEqual([joined[0], joined[1_999], joined[250_500]], [0, 1, 250])
})

// Guards against chunks that cost more than their bytes.
test('a body in chunks of one byte costs at most twice its bytes and a first buffer', (t) => {
  const budget = new RequestBudget(1_000_000)
  const body = new BodyBuffer(budget.openShare(), undefined)
  for (let sent = 0; sent < 100_000; sent += 1) body.append(Buffer.from('x'))
  t.true(budget.used <= 2 * 100_000 + 4_096, String(budget.used))
})

// Guards against clients that fill the memory with unfinished bodies and keep others out.
test('a body that has stalled yields its memory, and one that is being sent does not', (t) => {
  const budget = new RequestBudget(100)
  const [stalled, sending, other] = [budget.openShare(), budget.openShare(), budget.openShare()]
  t.true(stalled.reserve(50) && sending.reserve(50))
  const yielded: string[] = []
  const reading = (name: string, share: typeof stalled, lastByteAt: number): void => budget.addReading({
    lastByteAt,
    yieldMemory: () => {
      yielded.push(name)
      share.release()
    }
  })
  reading('sending', sending, performance.now())
  reading('stalled', stalled, performance.now() - 5_000)
  t.true(other.reserve(50))
  t.false(other.reserve(50))
  t.deepEqual(yielded, ['stalled'])
})
