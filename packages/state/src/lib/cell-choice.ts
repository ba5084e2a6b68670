import type { CellPlacement } from './cell-layout.js'
import type { CellSummary } from './cell.js'

/** Bytes on the wire for each token of an answer, including framing. */
export const BYTES_PER_TOKEN = 24

/** Waiting time that each kilobyte sent over the billed link has to save, in milliseconds. */
const SAVED_MS_PER_KILOBYTE = 5

/** Round-trip time of the link between regions, in milliseconds. */
const LINK_ROUND_TRIP_MS = 24

/** A cell as a gateway knows it. */
export interface CellCandidate {
  readonly placement: CellPlacement
  /** Undefined before the first summary; the cell is then assumed to be free. */
  readonly summary: CellSummary | undefined
}

/** Criteria for choosing between cells. */
export interface CellChoiceCriteria {
  readonly region: string
  readonly expectedTokens: number
  /** Returns a number in [0, 1). */
  readonly random: () => number
  /** Whether the budget of the link between regions allows that many bytes. */
  readonly canSendOverLink: (bytes: number) => boolean
}

/**
 * Chooses the cell for a request: the better of two random ones in the local
 * region (power of two choices). A cell of another region is used only if the
 * waiting time saved is worth the billed bytes and the link's budget allows them,
 * or if the local region has no cell.
 *
 * @example
 * chooseCell(cells, { region: 'lothian', expectedTokens: 200, random, canSendOverLink: () => true })
 */
export function chooseCell (cells: readonly CellCandidate[], choice: CellChoiceCriteria): CellCandidate | undefined {
  const local = pickBetterOfTwo(cells.filter((cell) => cell.placement.region === choice.region), choice.random)
  const remote = pickBetterOfTwo(cells.filter((cell) => cell.placement.region !== choice.region), choice.random)
  if (local === undefined || remote === undefined) return local ?? remote
  const bytes = choice.expectedTokens * BYTES_PER_TOKEN
  const savedMs = expectedWaitMs(local) - expectedWaitMs(remote) - LINK_ROUND_TRIP_MS
  const isWorthwhile = savedMs > bytes / 1024 * SAVED_MS_PER_KILOBYTE
  return isWorthwhile && remote.summary !== undefined && choice.canSendOverLink(bytes) ? remote : local
}

/** Expected wait in a cell in milliseconds; 0 while there are more free slots than waiting requests. */
export function expectedWaitMs (cell: CellCandidate): number {
  const { summary } = cell
  return summary === undefined || summary.waiting < summary.freeSlots ? 0 : summary.waitMs
}

function pickBetterOfTwo (cells: readonly CellCandidate[], random: () => number): CellCandidate | undefined {
  if (cells.length <= 1) return cells[0]
  const first = Math.floor(random() * cells.length)
  const second = (first + 1 + Math.floor(random() * (cells.length - 1))) % cells.length
  const [a, b] = [cells[first], cells[second]]
  return a !== undefined && b !== undefined && loadRatio(b) < loadRatio(a) ? b : a
}

/** Demand relative to slots: below 1 while slots are free, above 1 as the queue grows. */
function loadRatio (cell: CellCandidate): number {
  const { summary } = cell
  if (summary === undefined) return 0
  const slots = Math.max(summary.totalSlots, 1)
  return (slots - summary.freeSlots + summary.waiting) / slots
}
