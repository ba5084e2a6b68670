import { toRunnable } from '../command.js'
import { apply } from './apply.js'
import { drain } from './drain.js'
import { explain } from './explain.js'
import { keysGrant } from './keys-grant.js'
import { keysWithdraw } from './keys-withdraw.js'
import { plan } from './plan.js'
import { status } from './status.js'
import { usage } from './usage.js'
import { validate } from './validate.js'
import { verify } from './verify.js'
import type { RunnableCommand } from '../command.js'

/** Every command, in the order of the help. */
export const COMMANDS: readonly RunnableCommand[] = [
  toRunnable(validate),
  toRunnable(plan),
  toRunnable(apply),
  toRunnable(status),
  toRunnable(keysGrant),
  toRunnable(keysWithdraw),
  toRunnable(drain),
  toRunnable(usage),
  toRunnable(explain),
  toRunnable(verify)
]
