import { EndpointReplyKind, StreamPartKind, WeightOrderStatus } from '@cyclamenthread/protocol'
import { EndpointSign } from '@cyclamenthread/state'
import type { EndpointPort, EndpointReply, EndpointReport, EndpointRequest, StreamPart, WeightOrder } from '@cyclamenthread/protocol'
import type { EndpointEntry } from '@cyclamenthread/state'

/** Behaviour of an endpoint for a call. */
export type CallScript = (request: EndpointRequest) => Promise<EndpointReply>

/** Behaviour of an endpoint for a stream. */
export type StreamScript = (request: EndpointRequest, resumeAfter: number) => AsyncGenerator<StreamPart>

/** Creates a complete answer with a status. */
export function answerWith (status: number, signature?: string): EndpointReply {
  return { kind: EndpointReplyKind.Answer, status, headers: [], body: Buffer.from('done'), signature, load: undefined }
}

/** Waits for a time or an abort, whichever comes first; returns whether the time passed. */
export async function waitUnlessAborted (milliseconds: number, signal: AbortSignal): Promise<boolean> {
  return await new Promise((resolve) => {
    const timer = setTimeout(() => resolve(true), milliseconds)
    signal.addEventListener('abort', () => {
      clearTimeout(timer)
      resolve(false)
    }, { once: true })
  })
}

/** Creates a script that streams events up to `count` under one weight version, starting after the event that the caller already has. */
export function streamOf (count: number, version: number, pauseMs = 1): StreamScript {
  return async function * (request, resumeAfter) {
    yield { kind: StreamPartKind.Start, version, load: undefined }
    for (let id = resumeAfter + 1; id <= count; id += 1) {
      if (!await waitUnlessAborted(pauseMs, request.signal)) {
        yield { kind: StreamPartKind.Broken, sent: true, detail: 'aborted' }
        return
      }
      yield { kind: StreamPartKind.Event, id, data: `e${id}`, version: undefined }
    }
    yield { kind: StreamPartKind.End }
  }
}

/** Endpoints whose behaviour is scripted per endpoint id. */
export class ScriptedEndpoints implements EndpointPort {
  readonly calls: EndpointRequest[] = []
  readonly streams: Array<{ readonly request: EndpointRequest, readonly resumeAfter: number }> = []
  readonly orders: Array<{ readonly endpoint: string, readonly order: WeightOrder }> = []
  readonly callScripts = new Map<string, CallScript>()
  readonly streamScripts = new Map<string, StreamScript>()
  readReport: (endpoint: EndpointEntry) => Promise<EndpointReport | undefined> = async () => undefined
  probe: (endpoint: EndpointEntry) => Promise<EndpointSign> = async () => EndpointSign.None

  async sendRequest (request: EndpointRequest): Promise<EndpointReply> {
    this.calls.push(request)
    return await this.callScripts.get(request.endpoint.id)?.(request) ?? answerWith(200)
  }

  async * streamRequest (request: EndpointRequest, resumeAfter: number): AsyncGenerator<StreamPart> {
    this.streams.push({ request, resumeAfter })
    yield * (this.streamScripts.get(request.endpoint.id) ?? streamOf(3, 3))(request, resumeAfter)
  }

  async orderWeights (endpoint: EndpointEntry, order: WeightOrder): Promise<WeightOrderStatus> {
    this.orders.push({ endpoint: endpoint.id, order })
    return WeightOrderStatus.Accepted
  }

  async close (): Promise<void> {}
}
