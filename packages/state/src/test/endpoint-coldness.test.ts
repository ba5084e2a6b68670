import test from 'ava'
import { ColdReason, EndpointColdness } from '@cyclamenthread/state'

const BOUNDS = { durationMs: 10_000, requestsPerSecond: 8 }

function createColdness (): EndpointColdness {
  const coldness = new EndpointColdness()
  coldness.setBounds(BOUNDS)
  return coldness
}

test('an endpoint is cold until the time that it states, and its limit is at most the declared rate', (t) => {
  const coldness = createColdness()
  t.is(coldness.limitAt(0), undefined)
  coldness.recordStatement({ asOf: 0, until: 4_000 })
  t.like(coldness.limitAt(3_999), { reason: ColdReason.Stated, until: 4_000 })
  t.true((coldness.limitAt(0)?.requestsPerSecond ?? Infinity) <= BOUNDS.requestsPerSecond)
  t.is(coldness.limitAt(4_000), undefined)
})

// Guards against an endpoint that restarts under load and gets all of it at once, because its entry is old.
test('after a connection broke, an endpoint is presumed cold until it has answered and the declared time is over', (t) => {
  const coldness = createColdness()
  coldness.recordBreak(1_000)
  coldness.recordAnswer(900, 1_100)
  t.is(coldness.limitAt(60_000)?.reason, ColdReason.Broken, 'an answer to a request that was sent before shows nothing')
  coldness.recordAnswer(60_000, 60_100)
  coldness.recordAnswer(65_000, 65_100)
  t.is(coldness.limitAt(60_100)?.until, 70_100)
  t.is(coldness.limitAt(70_100), undefined)
  coldness.recordBreak(71_000)
  t.is(coldness.limitAt(100_000)?.reason, ColdReason.Broken)
})

// Guards against all endpoints of a failure domain that crash together when its evacuation is lifted.
test('after an evacuation was lifted, an endpoint is presumed cold for the declared time', (t) => {
  const coldness = createColdness()
  coldness.recordLift(1_000)
  t.is(coldness.limitAt(10_999)?.reason, ColdReason.Lifted)
  t.is(coldness.limitAt(11_000), undefined)
  coldness.recordBreak(20_000)
  coldness.recordLift(21_000)
  t.is(coldness.limitAt(60_000)?.reason, ColdReason.Broken, 'a lift does not show that the endpoint has answered')
})

// Guards against an old entry or a late answer that makes a cold endpoint pass for a warm one.
test('only a statement that is later than the reason ends a presumption, and a later one replaces an earlier one', (t) => {
  const coldness = createColdness()
  coldness.recordLift(1_000)
  coldness.recordStatement({ asOf: 1_000, until: -Infinity })
  coldness.recordStatement({ asOf: -Infinity, until: -Infinity })
  t.is(coldness.limitAt(2_000)?.until, 11_000)
  coldness.recordStatement({ asOf: 1_500, until: 20_000 })
  t.like(coldness.limitAt(2_000), { reason: ColdReason.Stated, until: 20_000 })
  coldness.recordStatement({ asOf: 1_400, until: -Infinity })
  t.is(coldness.limitAt(2_000)?.until, 20_000)
  coldness.recordStatement({ asOf: 1_600, until: -Infinity })
  t.is(coldness.limitAt(2_000), undefined)
  coldness.recordStatement({ asOf: 1_550, until: 9_000 })
  t.is(coldness.limitAt(2_000)?.until, 9_000, 'it may have become cold again since the later statement')
})

test('an endpoint of a service that declares no rate is never cold', (t) => {
  const coldness = new EndpointColdness()
  coldness.recordStatement({ asOf: 0, until: 4_000 })
  coldness.recordBreak(0)
  coldness.recordLift(0)
  t.is(coldness.limitAt(0), undefined)
})
