import test from 'ava'
import { CallForwarder, CallOrigin, LogEvent, SILENT_LOG } from '@cyclamenthread/coordination'
import { failure, Ran, RefusalReason, success } from '@cyclamenthread/state'
import { PeerFailure, suspendAwareNow } from '@cyclamenthread/transport'
import type { CallForwarderContext, PlainCall } from '@cyclamenthread/coordination'
import type { ForwardCall } from '@cyclamenthread/protocol'
import type { Host } from '@cyclamenthread/state'

const SELF = { id: 'h1', failureDomain: 'd1' } as Host
const SILENT = { id: 'h2', failureDomain: 'd2' } as Host
const ANSWERING = { id: 'h3', failureDomain: 'd1' } as Host

const CALL = { requestId: 'r1', route: { host: 'a.example', maxAttempts: 2 }, origin: CallOrigin.Caller, method: 'POST', path: '/', headers: [], body: new Uint8Array(), deadline: performance.now() + 60_000, signal: new AbortController().signal } as unknown as PlainCall

// Guards against calls that are lost at a host that is silent, although it is known to be (SHORT).
test('calls are passed on to hosts that are not suspected', async (t) => {
  const bus = {
    send: async (host: Host) => host.id === SILENT.id ? failure(PeerFailure.NoReply) : success({ ok: true, status: 200, headers: [], body: new Uint8Array(), taken: true, failures: 0 })
  } as unknown as CallForwarderContext['bus']
  const members = { workers: () => [SELF, SILENT, ANSWERING], isSuspected: (id: string) => id === SILENT.id }
  const forwarder = new CallForwarder({ self: SELF, members, bus, log: SILENT_LOG } as unknown as CallForwarderContext)
  const outcome = await forwarder.forward(CALL, 2)
  t.true(outcome?.ok)
})

// Guards against a reward request that starts at another host after its batch was ended, because the call is passed on without its permission (UNASKED).
test('a call is passed on only while it may start, and with the time that is left for that', async (t) => {
  const messages: ForwardCall[] = []
  const bus = {
    send: async (_host: Host, message: ForwardCall) => {
      messages.push(message)
      return success({ ok: true, status: 200, headers: [], body: new Uint8Array(), taken: true, failures: 0 })
    }
  } as unknown as CallForwarderContext['bus']
  const members = { workers: () => [SELF, ANSWERING], isSuspected: () => false }
  const forwarder = new CallForwarder({ self: SELF, members, bus, log: SILENT_LOG } as unknown as CallForwarderContext)
  t.is(await forwarder.forward({ ...CALL, startBefore: suspendAwareNow() - 1 }, 2), undefined)
  t.is(messages.length, 0)
  await forwarder.forward({ ...CALL, startBefore: suspendAwareNow() + 200 }, 2)
  t.true((messages[0]?.startLeftMs ?? Infinity) <= 200)
})

// Guards against a body that is passed on to a host outside the homes of its route (HOME).
test('a call with homes is passed on only to hosts in a home, which learn the homes from it', async (t) => {
  const asked: string[] = []
  const messages: ForwardCall[] = []
  const bus = {
    send: async (host: Host, message: ForwardCall) => {
      asked.push(host.id)
      messages.push(message)
      return failure(PeerFailure.NotSent)
    }
  } as unknown as CallForwarderContext['bus']
  const hosts = [SELF, { ...SILENT, region: 'lothian' }, { ...ANSWERING, region: 'grampian' }]
  const members = { workers: () => hosts, isSuspected: () => false }
  const forwarder = new CallForwarder({ self: SELF, members, bus, log: SILENT_LOG } as unknown as CallForwarderContext)
  await forwarder.forward({ ...CALL, homes: ['grampian'] }, 2)
  t.deepEqual(asked, [ANSWERING.id])
  t.deepEqual(messages[0]?.homes, ['grampian'])
  t.is(await forwarder.forward({ ...CALL, homes: [] }, 2), undefined)
  t.is(asked.length, 1)
})

// Guards against an answer without a meaning that reaches a caller, or counts as not run, because a host of an earlier build passes it on (TWICE).
test('an answer with an invalid status that another host passes on is no answer: the call may have run and is passed on to no other host', async (t) => {
  for (const status of [-1, 0, 20, 99, 100, 101, 199, 600, 999]) {
    const asked: string[] = []
    const lines: Array<Readonly<Record<string, unknown>>> = []
    const bus = {
      send: async ({ id }: Host) => {
        asked.push(id)
        return success({ ok: true, status, headers: [], body: new Uint8Array(), failures: 1 })
      }
    } as unknown as CallForwarderContext['bus']
    const log = {
      record: (event: LogEvent, fields: Readonly<Record<string, unknown>>) => {
        if (event === LogEvent.CallForwarded) lines.push(fields)
      }
    }
    const members = { workers: () => [SELF, SILENT, ANSWERING], isSuspected: () => false }
    const forwarder = new CallForwarder({ self: SELF, members, bus, log } as unknown as CallForwarderContext)
    const outcome = await forwarder.forward(CALL, 2)
    t.like(outcome, { ok: false, refusal: { reason: RefusalReason.EndpointFailed, ran: Ran.Maybe }, failures: 1 }, String(status))
    t.is(asked.length, 1)
    t.like(lines[0], { requestId: 'r1', outcome: status, cause: 'invalid-status', ran: Ran.Maybe })
  }
})
