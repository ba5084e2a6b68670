import test from 'ava'
import { LogEvent } from '@cyclamenthread/coordination'
import { MeteredLog } from '../lib/metered-log.js'

test('counts lines by event and outcome and records durations in a histogram', async (t) => {
  const lines: string[] = []
  const log = new MeteredLog({ record: (event) => lines.push(event) })
  log.record(LogEvent.RequestEnded, { requestId: 'r', outcome: 'answer', tookMs: 60 })
  log.record(LogEvent.RequestEnded, { requestId: 's', outcome: 'answer', tookMs: 600 })
  log.record(LogEvent.LeaseGained, { lease: 'duties' })
  const text = await log.renderMetrics()
  t.is(lines.length, 3)
  t.true(text.includes('cyclamenthread_events_total{event="request-ended",outcome="answer"} 2'))
  t.true(text.includes('cyclamenthread_latency_seconds_bucket{le="0.1",event="request-ended",outcome="answer"} 1'))
  t.true(text.includes('cyclamenthread_latency_seconds_count{event="request-ended",outcome="answer"} 2'))
  t.false(text.includes('requestId'))
})

test('reads gauge values when metrics are rendered', async (t) => {
  const log = new MeteredLog({ record: () => {} })
  let value = 1
  log.registerGauge('test_figure', 'A figure.', () => [['one', value]])
  value = 5
  t.true((await log.renderMetrics()).includes('test_figure{kind="one"} 5'))
})
