import { COMMANDS, declarationSchemas, EXIT_CODE_MEANING, FLAG_TABLE, formatFlag } from 'cyclamenctl'
import { environmentName, flagName, serviceSettingsSchema, httpStatusOf } from 'cyclamenthread'
import { RefusalReason } from '@cyclamenthread/state'
import * as z from 'zod'
import { REFUSAL_NOTES } from './refusal-notes.js'

/** What the tables need of a JSON schema. */
interface SchemaNode {
  readonly type?: string
  readonly const?: unknown
  readonly enum?: readonly unknown[]
  readonly format?: string
  readonly default?: unknown
  readonly description?: string
  readonly properties?: Readonly<Record<string, SchemaNode>>
  readonly required?: readonly string[]
  readonly items?: SchemaNode
}

/** The generated tables, by the name that marks their place in a page. */
export const REFERENCE_TABLES: Readonly<Record<string, () => string>> = {
  settings: settingsTable,
  declarations: declarationTables,
  refusals: refusalTable,
  commands: commandTable,
  'exit-codes': exitCodeTable
}

/**
 * A page with every table between its markers made anew.
 *
 * @param page text of a Markdown page
 * @example
 * withTables('<!-- table settings -->\n<!-- end -->\n')
 */
export function withTables (page: string): string {
  return page.replace(/(<!-- table ([a-z-]+) -->\n)[^]*?(<!-- end -->)/g, (_, begin: string, name: string, end: string) => {
    const table = REFERENCE_TABLES[name]
    if (table === undefined) throw new Error(`there is no table ${name}`)
    return `${begin}\n${table()}\n\n${end}`
  })
}

function table (head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const line = (cells: readonly string[]): string => `| ${cells.map((cell) => cell.replaceAll('|', '\\|')).join(' | ')} |`
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n')
}

function code (text: string): string {
  return `\`${text}\``
}

function schemaOf (schema: z.ZodType): SchemaNode {
  return z.toJSONSchema(schema, { io: 'input' }) as SchemaNode
}

function settingsTable (): string {
  const schema = schemaOf(serviceSettingsSchema)
  const rows = Object.entries(schema.properties ?? {}).map(([setting, node]) => [
    code(flagName(setting)),
    code(environmentName(setting)),
    requiredOrDefault(schema, setting, node),
    node.description ?? ''
  ])
  return table(['flag', 'variable', 'default', 'meaning'], rows)
}

function requiredOrDefault (parent: SchemaNode, name: string, node: SchemaNode): string {
  if (node.default !== undefined) return code(JSON.stringify(node.default))
  return parent.required?.includes(name) === true ? 'required' : 'none'
}

function declarationTables (): string {
  return Object.entries(declarationSchemas).map(([kind, schema]) => {
    const node = schemaOf(schema)
    return `#### ${kind}\n\n${table(['field', 'value', 'default', 'meaning'], fieldRows(node, ''))}`
  }).join('\n\n')
}

/** A row for each field; fields of objects and lists follow their parent. */
function fieldRows (parent: SchemaNode, prefix: string): string[][] {
  const fields = Object.entries(parent.properties ?? {})
  const ordered = [...fields.filter(([name]) => name === 'kind'), ...fields.filter(([name]) => name !== 'kind')]
  return ordered.flatMap(([name, node]) => {
    const row = [code(prefix + name), valueText(node), requiredOrDefault(parent, name, node), node.description ?? '']
    const nested = node.items === undefined ? fieldRows(node, `${prefix}${name}.`) : fieldRows(node.items, `${prefix}${name}[].`)
    return [row, ...nested]
  })
}

function valueText (node: SchemaNode): string {
  if (node.const !== undefined) return code(String(node.const))
  if (node.enum !== undefined) return node.enum.map((value) => code(String(value))).join(', ')
  if (node.items !== undefined) return `list of ${node.items.properties === undefined ? valueText(node.items) : 'maps'}`
  if (node.properties !== undefined) return 'map'
  const names: Readonly<Record<string, string>> = { string: 'text', integer: 'whole number', number: 'number', boolean: '`true`, `false`' }
  return node.format === 'uri' ? 'URL' : names[node.type ?? ''] ?? ''
}

function refusalTable (): string {
  const rows = Object.values(RefusalReason).map((reason) => {
    const { ran, cause, remedy } = REFUSAL_NOTES[reason]
    return [String(httpStatusOf(reason)), code(reason), ran.map(code).join(', '), cause, remedy]
  })
  rows.sort((a, b) => Number(a[0]) - Number(b[0]))
  return table(['status', 'type', 'ran', 'cause', 'what to do'], rows)
}

function commandTable (): string {
  const rows = COMMANDS.map((command) => {
    const usage = [command.words, ...command.parameters.map((parameter) => `<${parameter}>`)].join(' ')
    const flags = command.flags.map((flag) => code(formatFlag(flag))).join(', ')
    return [code(usage), command.summary, flags]
  })
  const variables = Object.entries(FLAG_TABLE).flatMap(([flag, { variable }]) => variable === undefined ? [] : [`${code(formatFlag(flag))} also by ${code(variable)}`])
  return `${table(['command', 'what it does', 'flags'], rows)}\n\n${variables.join('; ')}. Every command takes ${code('--json')} and ${code('--help')}.`
}

function exitCodeTable (): string {
  return table(['code', 'meaning'], Object.entries(EXIT_CODE_MEANING).map(([exit, meaning]) => [exit, meaning]))
}
