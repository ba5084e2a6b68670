/** What a probe of an endpoint shows. */
export enum EndpointSign {
  /** The expected incarnation answered. */
  Alive = 'alive',
  /** Another endpoint or incarnation answers at its address. */
  Replaced = 'replaced',
  /** No answer. */
  None = 'none'
}

/** Whether an incarnation of an endpoint that gave no more sign to one request still runs. */
export enum EndpointLife {
  Running = 'running',
  Ended = 'ended',
  /** The path to it may be cut. */
  Unknown = 'unknown'
}

/** A probe of an endpoint by one host. */
export interface EndpointProbe {
  readonly sign: EndpointSign
  /** Whether it is in doubt that the host reaches any endpoint. */
  readonly isDoubtful: boolean
}

/**
 * Judges from probes of several hosts whether an incarnation of an endpoint still runs.
 * Silence counts only from hosts that reach other endpoints: to a host whose own path
 * is cut, all endpoints look as if they had ended.
 *
 * @param own the probe of the host that missed a sign
 * @param others probes of further hosts; those that gave no answer are left out
 * @example
 * judgeEndpointLife({ sign: EndpointSign.None, isDoubtful: true }, [{ sign: EndpointSign.Alive, isDoubtful: false }]) // running
 */
export function judgeEndpointLife (own: EndpointProbe, others: readonly EndpointProbe[]): EndpointLife {
  const probes = [own, ...others]
  if (probes.some(({ sign }) => sign === EndpointSign.Alive)) return EndpointLife.Running
  if (probes.some(({ sign }) => sign === EndpointSign.Replaced)) return EndpointLife.Ended
  return probes.some(({ isDoubtful }) => !isDoubtful) ? EndpointLife.Ended : EndpointLife.Unknown
}
