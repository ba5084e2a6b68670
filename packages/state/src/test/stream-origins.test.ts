import test from 'ava'
import { keepersOf, StreamOrigins } from '../lib/stream-origins.js'

const OLD = { service: 'tutor', softwareVersion: 's1' }
const NEW = { service: 'tutor', softwareVersion: 's2' }

// Guards against replacing the software version that brought the first event by that of a later attempt.
test('the first record of a stream holds', (t) => {
  const origins = new StreamOrigins()
  origins.record('a1', OLD, 0)
  origins.record('a1', NEW, 1)
  t.deepEqual(origins.find('a1', 2), OLD)
})

test('an origin is forgotten after its retention and not replaced by another one before', (t) => {
  const origins = new StreamOrigins()
  origins.record('a1', OLD, 0)
  t.deepEqual(origins.find('a1', 299_000), OLD)
  t.deepEqual(origins.find('a1', 598_000), OLD)
  t.is(origins.find('a1', 899_000), undefined)
  t.is(origins.find('a2', 0), undefined)
})

test('requests without an id leave no origin that another one could find', (t) => {
  const origins = new StreamOrigins()
  origins.record('', OLD, 0)
  t.is(origins.find('', 1), undefined)
})

test('memory is bounded, and the origins used last stay', (t) => {
  const origins = new StreamOrigins()
  for (let index = 0; index < 60_000; index++) origins.record(`a${index}`, OLD, index / 1_000)
  t.is(origins.find('a0', 61), undefined)
  t.is(origins.find('a9999', 61), undefined)
  t.deepEqual(origins.find('a10000', 61), OLD)
  t.deepEqual(origins.find('a59999', 61), OLD)
})

test('three hosts may keep each origin, and the loss of other hosts changes none of them', (t) => {
  const hosts = ['h1', 'h2', 'h3', 'h4', 'h5']
  for (let index = 0; index < 100; index++) {
    const keepers = keepersOf(`a${index}`, hosts)
    t.is(new Set(keepers).size, 3)
    t.deepEqual(keepersOf(`a${index}`, hosts.filter((host) => keepers.includes(host) || host === 'h1')), keepers)
  }
})
