import type { FlagName } from './command.js'

/** Type and help text of a flag. */
export interface FlagDescription {
  readonly type: 'string' | 'boolean' | 'number'
  readonly isMultiple?: true
  readonly help: string
  /** Environment variable that supplies the value if the flag is absent. */
  readonly variable?: string
}

/** Environment variable that contains the token with which operators authenticate to hosts. */
export const OPERATOR_TOKEN_VARIABLE = 'CYCLAMENTHREAD_OPERATOR_TOKEN'

/** All flags except `--json` and `--help`, which every command has. */
export const FLAG_TABLE: Readonly<Record<FlagName, FlagDescription>> = {
  storeUrl: { type: 'string', help: 'Base URL of the object service', variable: 'CYCLAMENTHREAD_STORE_URL' },
  hostUrl: { type: 'string', isMultiple: true, help: 'Base URL of any host, as callers use it; may be given several times', variable: 'CYCLAMENCTL_HOST_URL' },
  platformUrl: { type: 'string', help: 'Base URL of the platform, which lists the hosts', variable: 'CYCLAMENTHREAD_PLATFORM_URL' },
  plan: { type: 'string', help: 'Plan file written by `plan --out`; fails if the catalogue or the folder has changed since' },
  out: { type: 'string', help: 'File to write the plan to' },
  expectRevision: { type: 'number', help: 'Revision that must still be in force' },
  wait: { type: 'boolean', help: 'Wait until every live host reports the revision' },
  timeoutSeconds: { type: 'number', help: 'Longest wait in seconds (default 60)' },
  folder: { type: 'string', help: 'Folder of declarations to update as well' },
  entry: { type: 'string', isMultiple: true, help: 'Entry the key may use; may be given several times (default: all)' },
  workspace: { type: 'string', help: 'Only this workspace' },
  from: { type: 'string', help: 'Windows that end after this time, such as 2026-01-31T00:00:00Z' },
  to: { type: 'string', help: 'Windows that start before this time' }
}

/**
 * Formats the name of a flag as it is typed on the command line.
 *
 * @example
 * formatFlag('storeUrl') // '--store-url'
 */
export function formatFlag (name: string): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`
}
