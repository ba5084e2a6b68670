import { consola } from 'consola'
import meow from 'meow'
import { fitLine } from './line-fit.js'
import { measureDispatch } from './slopes/dispatch.js'
import { measureSteps, measureWaves } from './slopes/fleet.js'
import { measureGateway } from './slopes/gateway.js'
import { measureLedger } from './slopes/ledger.js'
import { measureMembership } from './slopes/membership.js'

/** Seed if `--seed` is absent. */
const DEFAULT_SEED = 1

/** Measurements at one size; all rows of a table have the same columns. */
type SlopeRow = Readonly<Record<string, number | string | undefined>>

/** Measurements of one part of the service at growing sizes. */
interface SlopeTable {
  readonly name: string
  /** Name of the column that holds the size. */
  readonly size: string
  readonly rows: readonly SlopeRow[]
}

/** Converts typed rows to plain records, which can be printed column by column. */
function toSlopeTable (name: string, size: string, rows: readonly object[]): SlopeTable {
  return { name, size, rows: rows.map((row) => ({ ...row })) }
}

/** Measures all slopes, or those named on the command line, and prints each table with a line fit per column. */
export async function runSlopes (): Promise<void> {
  const cli = meow('\n  Usage\n    $ npm run slopes -- [gateway] [membership] [dispatch] [ledger] [waves] [steps] --seed S\n', {
    importMeta: import.meta,
    flags: { seed: { type: 'number', default: DEFAULT_SEED } }
  })
  const isSelected = (name: string): boolean => cli.input.length === 0 || cli.input.includes(name)
  const { seed } = cli.flags
  consola.info(`seed ${seed}`)
  if (isSelected('gateway')) printTable(toSlopeTable('gateway', 'requestsPerSecond', await measureGateway()))
  if (isSelected('membership')) printTable(toSlopeTable('membership', 'members', measureMembership(seed)))
  if (isSelected('dispatch')) for (const part of measureDispatchTables()) printTable(part)
  if (isSelected('ledger')) printTable(toSlopeTable('ledger', 'operationsPerSecond', await measureLedger(seed)))
  if (isSelected('waves')) printTable(toSlopeTable('waves', 'endpoints', await measureWaves(seed)))
  if (isSelected('steps')) printTable(toSlopeTable('steps', 'samples', measureSteps(seed)))
}

/** Measures the dispatcher; returns one table per axis. */
function measureDispatchTables (): SlopeTable[] {
  const rows = measureDispatch()
  const axes = [...new Set(rows.map((row) => row.axis))]
  return axes.map((axis) => toSlopeTable(`dispatch, ${axis}`, 'size', rows.filter((row) => row.axis === axis)))
}

function printTable (slopeTable: SlopeTable): void {
  const columns = Object.keys(slopeTable.rows[0] ?? {}).filter((column) => slopeTable.rows.some((row) => typeof row[column] === 'number'))
  consola.log(`\n## ${slopeTable.name}\n`)
  consola.log(`| ${columns.join(' | ')} |\n|${columns.map(() => '---').join('|')}|`)
  for (const row of slopeTable.rows) consola.log(`| ${columns.map((column) => formatValue(row[column])).join(' | ')} |`)
  consola.log(`\n| against ${slopeTable.size} | slope | intercept | R² | worst error |\n|---|---|---|---|---|`)
  for (const column of columns) if (column !== slopeTable.size) printFit(slopeTable, column)
}

function printFit (slopeTable: SlopeTable, column: string): void {
  const points = slopeTable.rows.flatMap((row) => {
    const x = row[slopeTable.size]
    const y = row[column]
    return typeof x === 'number' && typeof y === 'number' ? [{ x, y }] : []
  })
  if (points.length < 2) return
  const fit = fitLine(points)
  consola.log(`| ${column} | ${formatValue(fit.slope)} | ${formatValue(fit.intercept)} | ${formatValue(fit.rSquared)} | ${(100 * fit.worstError).toFixed(0)}% |`)
}

function formatValue (value: number | string | undefined): string {
  return typeof value === 'number' ? String(Number(value.toPrecision(4))) : ''
}
