import { readFile } from 'node:fs/promises'
import * as z from 'zod'
import { digest } from '@cyclamenthread/state'
import { failed } from './command.js'
import { ExitCode } from './exit-code.js'
import type { Catalogue } from '@cyclamenthread/state'
import type { Failed } from './command.js'

const planFileSchema = z.object({
  /** Revision the plan was made against; 0 before the first apply. */
  revision: z.int().nonnegative(),
  /** Version of the store's head object at that revision. */
  headVersion: z.string(),
  /** Digest of the declarations the plan was made for. */
  declarations: z.string()
})

/** What `apply --plan` checks before it changes anything. */
export type PlanFile = z.infer<typeof planFileSchema>

/** Digest of a declared catalogue. */
export function planDigest (catalogue: Catalogue): string {
  return digest(JSON.stringify(catalogue))
}

/** Reads a file that `plan --out` wrote. */
export async function readPlan (path: string): Promise<PlanFile | Failed> {
  try {
    const parsed = planFileSchema.safeParse(JSON.parse(await readFile(path, 'utf8')))
    return parsed.success ? parsed.data : failed(ExitCode.Usage, `${path}: expected a file that \`cyclamenctl plan --out\` wrote`)
  } catch (error) {
    return failed(ExitCode.Usage, `${path} can't be read (${error instanceof Error ? error.message : String(error)})`)
  }
}
