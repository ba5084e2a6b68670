import type { CellPlacement } from './cell-layout.js'
import type { CellSummary } from './cell.js'

/** Bytes of an answer on the wire for one token, framing included. */
export const BYTES_PER_TOKEN = 24

/** Wait that has to be saved for each kilobyte sent over the billed link, in milliseconds. */
const SAVED_MS_PER_KILOBYTE = 5

/** Time a request loses on the link between regions and back, in milliseconds. */
const LINK_ROUND_TRIP_MS = 24

/** What gateways know of a cell. */
export interface CellCandidate {
  readonly placement: CellPlacement
  /** Absent before the first summary; the cell is then taken to be free. */
  readonly summary: CellSummary | undefined
}

/** What the choice between cells goes by. */
export interface CellChoiceCriteria {
  readonly region: string
  readonly expectedTokens: number
  /** A number from 0 up to 1. */
  readonly random: () => number
  /** Whether the budget of the link has room for that many bytes. */
  readonly canSendOverLink: (bytes: number) => boolean
}

/**
 * Chooses the cell for a request: in the own region the better of two sampled
 * ones; one of another region only when the wait it saves is worth the bytes
 * billed and the link's budget has room, or when the own region has none.
 *
 * @example
 * chooseCell(cells, { region: 'lothian', expectedTokens: 200, random, linkHasRoom: () => true })
 */
export function chooseCell (cells: readonly CellCandidate[], choice: CellChoiceCriteria): CellCandidate | undefined {
  const near = pickBetterOfTwo(cells.filter((cell) => cell.placement.region === choice.region), choice.random)
  const far = pickBetterOfTwo(cells.filter((cell) => cell.placement.region !== choice.region), choice.random)
  if (near === undefined || far === undefined) return near ?? far
  const bytes = choice.expectedTokens * BYTES_PER_TOKEN
  const savedMs = expectedWaitMs(near) - expectedWaitMs(far) - LINK_ROUND_TRIP_MS
  const isWorthwhile = savedMs > bytes / 1024 * SAVED_MS_PER_KILOBYTE
  return isWorthwhile && far.summary !== undefined && choice.canSendOverLink(bytes) ? far : near
}

/** Expected wait in a cell; 0 while slots are free for all who wait. */
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

/** Demand over slots: below 1 while slots are free, growing with the queue beyond. */
function loadRatio (cell: CellCandidate): number {
  const { summary } = cell
  if (summary === undefined) return 0
  const slots = Math.max(summary.totalSlots, 1)
  return (slots - summary.freeSlots + summary.waiting) / slots
}
