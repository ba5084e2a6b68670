export * from './lib/service.js'
export * from './lib/settings.js'
