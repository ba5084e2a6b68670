import { Agent, request as send } from 'node:http'
import { HOST_NAME, KEY } from './config.js'

/** Sends one client attempt; resolves with the answer, or with `failure` if the connection ended without a whole one. */
export async function call (address, { method = 'POST', path, id, body = '', timeoutMs = 2_000, headers = {}, key = KEY, agent }) {
  const colon = address.lastIndexOf(':')
  return await new Promise((resolve) => {
    const request = send({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
      method,
      path,
      agent,
      headers: {
        host: HOST_NAME,
        'x-cyclamenthread-attempt-id': id,
        'x-cyclamenthread-deadline-ms': String(timeoutMs),
        ...(key === null ? {} : { 'x-cyclamenthread-credential': key }),
        'content-length': String(Buffer.byteLength(body)),
        ...headers
      }
    })
    const timer = setTimeout(() => request.destroy(new Error('client deadline')), timeoutMs + 500)
    const finish = (result) => {
      clearTimeout(timer)
      resolve({ ...result, reused: request.reusedSocket })
    }
    let sentAll = false
    request.once('finish', () => {
      sentAll = true
    })
    request.once('error', (error) => finish({ failure: error.code ?? error.message, sentAll }))
    request.once('response', (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.once('error', (error) => finish({ failure: error.code ?? error.message, sentAll, status: response.statusCode }))
      response.once('end', () => finish({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString(), complete: response.complete }))
    })
    request.end(body)
  })
}

/** Connections that are kept open for many requests. */
export function createAgent (maxSockets = 8) {
  return new Agent({ keepAlive: true, maxSockets })
}
