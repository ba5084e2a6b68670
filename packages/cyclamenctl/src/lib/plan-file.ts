import { readFile } from 'node:fs/promises'
import * as z from 'zod'
import { digest } from '@cyclamenthread/state'
import { failedReport } from './command.js'
import { ExitCode } from './exit-code.js'
import type { Catalogue } from '@cyclamenthread/state'
import type { FailedReport } from './command.js'

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
export function digestCatalogue (catalogue: Catalogue): string {
  return digest(JSON.stringify(catalogue))
}

/** Reads a file that `plan --out` wrote. */
export async function readPlanFile (path: string): Promise<PlanFile | FailedReport> {
  try {
    const parsed = planFileSchema.safeParse(JSON.parse(await readFile(path, 'utf8')))
    return parsed.success ? parsed.data : failedReport(ExitCode.Usage, `${path}: expected a file that \`cyclamenctl plan --out\` wrote`)
  } catch (error) {
    return failedReport(ExitCode.Usage, `${path} can't be read (${error instanceof Error ? error.message : String(error)})`)
  }
}
