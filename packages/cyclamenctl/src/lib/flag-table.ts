import type { FlagName } from './command.js'

/** What the help says of a flag, and how its value is read. */
export interface FlagDescription {
  readonly type: 'string' | 'boolean' | 'number'
  readonly isMultiple?: true
  readonly help: string
  /** Environment variable that is used where the flag is not given. */
  readonly variable?: string
}

/** Environment variable with the token that proves an operator to the hosts. */
export const OPERATOR_TOKEN_VARIABLE = 'CYCLAMENTHREAD_OPERATOR_TOKEN'

/** All flags that belong to some commands. */
export const FLAG_TABLE: Readonly<Record<FlagName, FlagDescription>> = {
  storeUrl: { type: 'string', help: 'Base URL of the object service', variable: 'CYCLAMENTHREAD_STORE_URL' },
  hostUrl: { type: 'string', isMultiple: true, help: 'Base URL of any host, for callers; may be given several times', variable: 'CYCLAMENCTL_HOST_URL' },
  platformUrl: { type: 'string', help: 'Base URL of the platform, whose list names the hosts', variable: 'CYCLAMENTHREAD_PLATFORM_URL' },
  plan: { type: 'string', help: 'Plan file that `plan --out` wrote; refuses on anything newer' },
  out: { type: 'string', help: 'File to write the plan to' },
  expectRevision: { type: 'number', help: 'Revision that must still be in force' },
  wait: { type: 'boolean', help: 'Wait until every live host reports the revision' },
  timeoutSeconds: { type: 'number', help: 'Longest wait in seconds (default 60)' },
  folder: { type: 'string', help: 'Folder of declarations to keep in step' },
  entry: { type: 'string', isMultiple: true, help: 'Entry the key may use; may be given several times (default: all)' },
  workspace: { type: 'string', help: 'Only this workspace' },
  from: { type: 'string', help: 'Windows that end after this time, as 2026-01-31T00:00:00Z' },
  to: { type: 'string', help: 'Windows that start before this time' }
}

/**
 * A flag as it is typed.
 *
 * @example
 * flagText('storeUrl') // '--store-url'
 */
export function formatFlag (name: string): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`
}
