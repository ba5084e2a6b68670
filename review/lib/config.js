/** Host name, key and tenant of the clients of all cases. */
export const HOST_NAME = 'desk.example'
export const KEY = '2b9wu3fexd9dnn2ctnfz'
export const TENANT = 'huka270'
export const MODEL = 'daka510000'

/** The operator's configuration: a plain service with one route of each type, and a model service. */
export function configuration (version = 7) {
  const plain = { host: HOST_NAME, timeoutMs: 2000, goalMs: 235, priority: 2, service: 'booking-desk', maxAttempts: 2, public: false }
  return {
    version,
    routes: [
      { ...plain, name: 'bookings', pathPrefix: '/bookings/', type: 'idempotent' },
      { ...plain, name: 'payments', pathPrefix: '/payments/', type: 'non_idempotent' },
      {
        name: 'drafts', host: HOST_NAME, pathPrefix: '/drafts/', type: 'rollout', timeoutMs: 10000, goalMs: 400, priority: 1, service: 'tutor-models', maxAttempts: 3, itemTtlS: 40, dueMs: 7500, singleVersion: false, public: false, sticky: true, resumable: true
      }
    ],
    services: [
      { name: 'booking-desk', healthPath: '/healthz', maxConns: 110, protocol: 'h1', tls: false },
      { name: 'tutor-models', healthPath: '/healthz', maxConns: 160, protocol: 'h1', tls: false, engine: { slots: 12, kvCapacity: 85643, kvTokenBytes: 163840, models: [{ name: MODEL }] } }
    ],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 33554432, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    tenants: [{ name: TENANT, apiKeys: [KEY], priority: 1 }]
  }
}
