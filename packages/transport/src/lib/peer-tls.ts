import type { Socket } from 'node:net'
import { TLSSocket } from 'node:tls'

/** Certificates for the connections between hosts, as PEM texts. */
export interface PeerCertificates {
  /** Certificate of this host; its common name is the host's id. */
  readonly certificate: string
  readonly key: string
  /** Certificate of the authority that signs the certificates of all hosts. */
  readonly authority: string
}

/**
 * Whether the certificate of a connection belongs to the host that is at its
 * other end. Always true without TLS. The address is not compared: hosts are
 * replaced and change theirs, and the id is what messages are accepted by.
 *
 * @example
 * isCertified(socket, 'host-1')
 */
export function certificateMatchesHost (socket: Socket, host: string): boolean {
  return !(socket instanceof TLSSocket) || socket.getPeerCertificate().subject.CN === host
}
