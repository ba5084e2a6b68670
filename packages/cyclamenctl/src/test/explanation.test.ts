import test from 'ava'
import { DecisionChain, DecisionKind, WorkClass } from '@cyclamenthread/state'
import { explainRequest, renderExplanation, findQueueIntervals } from '../lib/explanation.js'
import type { ChainedDecision } from '@cyclamenthread/state'

/** Steps of one chain, as `request kind entry endpoint`. */
const STEPS: ReadonlyArray<readonly [string, DecisionKind, string, string]> = [
  ['before', DecisionKind.Granted, 'critique', 'engine-1'],
  ['mine', DecisionKind.Queued, 'critique', ''],
  ['rival', DecisionKind.Granted, 'critique', 'engine-1'],
  ['elsewhere', DecisionKind.Granted, 'pitches', 'booking-1'],
  ['same-pool', DecisionKind.Granted, 'colour', 'engine-1'],
  ['mine', DecisionKind.Granted, 'critique', 'engine-2'],
  ['after', DecisionKind.Granted, 'critique', 'engine-2'],
  ['mine', DecisionKind.Released, 'critique', 'engine-2']
]

function records (): ChainedDecision[] {
  const chain = new DecisionChain('host-1/a')
  return STEPS.map(([requestId, kind, entry, endpoint], index) => chain.append({
    kind, requestId, entry, endpoint, workspace: `of-${requestId}`, class: WorkClass.Training, waiting: 1, reason: 'next in fair order'
  }, 1_000 + index))
}

test('who was served before a request: those of its pool between its arrival and its grant, and no others', (t) => {
  const all = records()
  const own = all.filter((record) => record.decision.requestId === 'mine')
  const waits = findQueueIntervals(own)
  t.deepEqual(waits, [{ chain: 'host-1/a', from: 2, to: 6 }])
  const around = all.filter((record) => waits.some((wait) => record.sequence >= wait.from && record.sequence <= wait.to))
  const explanation = explainRequest('mine', own, around, false)
  t.deepEqual(explanation.servedBefore.map((other) => other.requestId), ['rival', 'same-pool'])
  t.deepEqual(explanation.steps.map((step) => step.kind), [DecisionKind.Queued, DecisionKind.Granted, DecisionKind.Released])
  const text = renderExplanation(explanation).join('\n')
  t.regex(text, /was given engine-2 .*next in fair order/)
  t.regex(text, /rival of workspace of-rival \(training, critique\) on engine-1/)
  t.regex(text, /records may be missing/)
})
