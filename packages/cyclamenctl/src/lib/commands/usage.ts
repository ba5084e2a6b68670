import { parseUsageWindow, StorePurpose, usageWindowKey } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { failedReport } from '../command.js'
import { ExitCode } from '../exit-code.js'
import { withStore } from '../operator-store.js'
import type { UsageTotal } from '@cyclamenthread/state'
import type { UsageWindow } from '@cyclamenthread/protocol'
import type { Command, CommandFlags } from '../command.js'

/** Longest the store may take to list the windows, in milliseconds. */
const LIST_TIMEOUT_MS = 20_000

/** Digits at the end of the key of a usage window. */
const WINDOW_DIGITS = 12

/** What a workspace used over the windows listed. */
export interface WorkspaceUsage {
  readonly workspace: string
  readonly promptTokens: number
  readonly answerTokens: number
  readonly calls: number
}

/** Sealed windows and their sums. */
export interface UsageResult {
  readonly windows: readonly UsageWindow[]
  readonly workspaces: readonly WorkspaceUsage[]
  /** Windows that say themselves that they lost something. */
  readonly incomplete: number
}

/** `cyclamenctl usage`: lists sealed usage windows. */
export const usage: Command<UsageResult> = {
  words: 'usage',
  parameters: [],
  flags: ['storeUrl', 'from', 'to', 'workspace'],
  summary: 'List sealed usage windows with totals per workspace',
  help: `Reads the sealed windows from the store: exactly what the platform was or will be
told. A window that is still open is not listed.

Example
  cyclamenctl usage --from 2026-01-31T00:00:00Z --to 2026-02-01T00:00:00Z --workspace booking-desk`,
  run: async (context) => {
    const range = parseTimeRange(context.flags)
    if ('problems' in range) return range
    return await withStore(context, async (store) => {
      const prefix = usageWindowKey(0).slice(0, -WINDOW_DIGITS)
      const listed = await store.objects.list(prefix, { purpose: StorePurpose.Other, deadline: deadlineAfter(LIST_TIMEOUT_MS) })
      if (!listed.ok) return failedReport(ExitCode.Unavailable, `the store can't be read (${listed.failure})`)
      const windows = listed.value
        .flatMap((object) => parseUsageWindow(object.value) ?? [])
        .filter((window) => window.to > range.from && window.from < range.to)
        .map((window) => filterByWorkspace(window, context.flags.workspace))
      return { ok: true, exit: ExitCode.Success, result: { windows, workspaces: sumByWorkspace(windows), incomplete: windows.filter((window) => !window.complete).length } }
    })
  },
  render: ({ windows, workspaces, incomplete }) => [
    ...windows.filter((window) => window.totals.length > 0).flatMap(renderWindow),
    `${windows.length} sealed windows, ${incomplete} incomplete`,
    ...workspaces.map((total) => `  ${total.workspace}: ${total.promptTokens} + ${total.answerTokens} tokens, ${total.calls} calls`)
  ]
}

function parseTimeRange (flags: CommandFlags): { readonly from: number, readonly to: number } | ReturnType<typeof failedReport> {
  const from = flags.from === undefined ? -Infinity : Date.parse(flags.from)
  const to = flags.to === undefined ? Infinity : Date.parse(flags.to)
  const invalidFlags = [Number.isNaN(from) ? '--from' : '', Number.isNaN(to) ? '--to' : ''].filter((flag) => flag !== '')
  return invalidFlags.length > 0 ? failedReport(ExitCode.Usage, ...invalidFlags.map((flag) => `${flag}: expected a time as 2026-01-31T00:00:00Z`)) : { from, to }
}

function filterByWorkspace (window: UsageWindow, workspace: string | undefined): UsageWindow {
  return workspace === undefined ? window : { ...window, totals: window.totals.filter((total) => total.workspace === workspace) }
}

/**
 * Sums sealed windows per workspace.
 *
 * @example
 * sumByWorkspace(windows)[0]?.answerTokens
 */
export function sumByWorkspace (windows: readonly UsageWindow[]): WorkspaceUsage[] {
  const sums = new Map<string, WorkspaceUsage>()
  for (const { workspace, promptTokens, answerTokens, calls } of windows.flatMap((window) => window.totals)) {
    const sum = sums.get(workspace) ?? { workspace, promptTokens: 0, answerTokens: 0, calls: 0 }
    sums.set(workspace, {
      workspace,
      promptTokens: sum.promptTokens + promptTokens,
      answerTokens: sum.answerTokens + answerTokens,
      calls: sum.calls + calls
    })
  }
  return [...sums.values()].sort((a, b) => a.workspace < b.workspace ? -1 : 1)
}

function renderWindow (window: UsageWindow): string[] {
  return [
    `window ${window.window}, ${new Date(window.from).toISOString()} to ${new Date(window.to).toISOString()}${window.complete ? '' : ', incomplete'}`,
    ...window.totals.map((total) => `  ${total.workspace} ${total.entry}: ${total.promptTokens} + ${total.answerTokens} tokens, ${total.calls} calls${formatCorrection(total)}`)
  ]
}

function formatCorrection ({ correctionOf }: UsageTotal): string {
  return correctionOf === undefined ? '' : `, a correction of window ${correctionOf}`
}
