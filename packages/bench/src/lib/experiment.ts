import { consola } from 'consola'
import meow from 'meow'
import { SCENARIOS } from './scenarios/index.js'
import type { ExperimentReport, Figure } from './scenario.js'

/** Seed if `--seed` is absent. */
const DEFAULT_SEED = 1

/** Runs the experiment named on the command line and prints its report. */
export async function runExperiment (): Promise<void> {
  const list = SCENARIOS.map((scenario) => `    ${scenario.name}  ${scenario.question}`).join('\n')
  const cli = meow(`\n  Usage\n    $ npm run experiment -- NAME --seed S\n\n  Experiments\n${list}\n`, {
    importMeta: import.meta,
    flags: { seed: { type: 'number', default: DEFAULT_SEED } }
  })
  const scenario = SCENARIOS.find((item) => item.name === cli.input[0])
  if (scenario === undefined) {
    cli.showHelp(2)
    return
  }
  consola.info(`${scenario.name}, seed ${cli.flags.seed}: ${scenario.question}`)
  consola.log(renderReport(await scenario.run(cli.flags.seed)))
}

/** Formats a report as a Markdown table, followed by its notes. */
export function renderReport (report: ExperimentReport): string {
  const rows = report.figures.map((figure) => `| ${figure.name} (${figure.unit}) | ${formatNumber(figure.baseline)} | ${formatNumber(figure.chosen)} | ${formatTarget(figure)} |`)
  const notes = report.notes.map((note) => `- ${note}`)
  return ['| figure | baseline | chosen | target |', '|---|---|---|---|', ...rows, '', ...notes].join('\n')
}

function formatNumber (value: number | undefined): string {
  return value === undefined ? '' : String(Math.round(value * 1000) / 1000)
}

function formatTarget (figure: Figure): string {
  if (figure.target === undefined) return ''
  return `${figure.target.text}: ${figure.target.met ? 'met' : 'MISSED'}`
}
