import { request } from 'node:http'

/**
 * Sends one request and resolves with its whole answer, or with why there was none;
 * the caller gives up after a time.
 */
export async function send ({ address, method = 'GET', path, host, headers = {}, body, timeoutMs, agent }) {
  const startedAt = performance.now()
  const [ip, port] = address.split(':')
  return await new Promise((resolve) => {
    let isSent = false
    const finish = (result) => {
      clearTimeout(timer)
      resolve({ ...result, isSent, tookMs: Math.round(performance.now() - startedAt) })
    }
    const call = request({ host: ip, port, method, path, agent: agent ?? false, setHost: false, headers: { Host: host, ...headers, ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }) } })
    const timer = setTimeout(() => {
      finish({ status: undefined, failure: 'gave up' })
      call.destroy()
    }, timeoutMs)
    call.once('finish', () => {
      isSent = true
    })
    call.once('error', (error) => finish({ status: undefined, failure: error.code ?? error.message }))
    call.once('response', (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.once('error', (error) => finish({ status: undefined, failure: error.code ?? error.message }))
      response.once('end', () => finish({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks) }))
    })
    call.end(body)
  })
}
