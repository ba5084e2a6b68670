export * from './lib/declaration.js'
export * from './lib/declaration-folder.js'
export * from './lib/exit-code.js'
export { run } from './lib/main.js'
