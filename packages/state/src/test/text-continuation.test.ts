import test from 'ava'
import { ContinuationStep, continuationDeadline, decideContinuation } from '@cyclamenthread/state'

const CHANCE = { softwareVersion: 's1', isServed: true, hasRoom: false, waitDeadline: undefined }

test('a text goes on as soon as an endpoint of its software version has room, however long it has waited', (t) => {
  for (const waitDeadline of [undefined, 5, 50]) t.is(decideContinuation({ ...CHANCE, hasRoom: true, waitDeadline }, 10), ContinuationStep.Continue)
})

test('a text whose software version no endpoint serves any more starts anew without a wait', (t) => {
  t.is(decideContinuation({ ...CHANCE, isServed: false }, 10), ContinuationStep.StartAnew)
  t.is(decideContinuation({ ...CHANCE, isServed: false, waitDeadline: 50 }, 10), ContinuationStep.StartAnew)
})

test('a text of an unknown software version never goes on', (t) => {
  t.is(decideContinuation({ ...CHANCE, softwareVersion: undefined, hasRoom: true }, 10), ContinuationStep.StartAnew)
})

test('a text waits for room no longer than generating it again takes', (t) => {
  t.is(decideContinuation(CHANCE, 10), ContinuationStep.Wait)
  const waitDeadline = continuationDeadline(12, 40, 10)
  t.is(waitDeadline, 490)
  t.is(decideContinuation({ ...CHANCE, waitDeadline }, 489), ContinuationStep.Wait)
  t.is(decideContinuation({ ...CHANCE, waitDeadline }, 490), ContinuationStep.StartAnew)
})
