import type { Socket } from 'node:net'
import { TLSSocket } from 'node:tls'

/** Certificates for connections between hosts, in PEM format. */
export interface PeerCertificates {
  /** Certificate of this host; its common name is the host's id. */
  readonly certificate: string
  readonly key: string
  /** Certificate of the authority that signs the certificates of all hosts. */
  readonly authority: string
}

/**
 * Whether the peer certificate of a connection names the given host id. Always
 * true without TLS. The address isn't checked: replaced hosts get new addresses,
 * and messages are authorized by host id.
 *
 * @example
 * certificateMatchesHost(socket, 'host-1')
 */
export function certificateMatchesHost (socket: Socket, host: string): boolean {
  return !(socket instanceof TLSSocket) || socket.getPeerCertificate().subject.CN === host
}
