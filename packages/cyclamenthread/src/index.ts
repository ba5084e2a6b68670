export { statusOf } from './lib/problem.js'
export * from './lib/read-settings.js'
export * from './lib/service.js'
export * from './lib/settings.js'
