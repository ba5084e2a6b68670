export * from './lib/testing/endpoint-entry.js'
export * from './lib/testing/rollout-order.js'
