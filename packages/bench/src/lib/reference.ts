import { COMMANDS, declarationSchemas, EXIT_CODE_MEANING, FLAG_TABLE, formatFlag } from 'cyclamenctl'
import { environmentName, flagName, serviceSettingsSchema, httpStatusOf } from 'cyclamenthread'
import { RefusalReason } from '@cyclamenthread/state'
import * as z from 'zod'
import { REFUSAL_NOTES } from './refusal-notes.js'

/** The parts of a JSON schema that the tables show. */
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

/** Renderers of the generated tables, by the name in the marker `<!-- table NAME -->` of a page. */
export const REFERENCE_TABLES: Readonly<Record<string, () => string>> = {
  settings: renderSettingsTable,
  declarations: renderDeclarationTables,
  refusals: renderRefusalTable,
  commands: renderCommandTable,
  'exit-codes': renderExitCodeTable
}

/**
 * Returns the page with the table between each pair of markers regenerated.
 *
 * @param page text of a Markdown page
 * @example
 * replaceTables('<!-- table settings -->\n<!-- end -->\n')
 */
export function replaceTables (page: string): string {
  return page.replace(/(<!-- table ([a-z-]+) -->\n)[^]*?(<!-- end -->)/g, (_, begin: string, name: string, end: string) => {
    const renderer = REFERENCE_TABLES[name]
    if (renderer === undefined) throw new Error(`unknown table ${name}`)
    return `${begin}\n${renderer()}\n\n${end}`
  })
}

function renderTable (head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const line = (cells: readonly string[]): string => `| ${cells.map((cell) => cell.replaceAll('|', '\\|')).join(' | ')} |`
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n')
}

function formatCode (text: string): string {
  return `\`${text}\``
}

function toSchemaNode (schema: z.ZodType): SchemaNode {
  return z.toJSONSchema(schema, { io: 'input' }) as SchemaNode
}

function renderSettingsTable (): string {
  const schema = toSchemaNode(serviceSettingsSchema)
  const rows = Object.entries(schema.properties ?? {}).map(([setting, node]) => [
    formatCode(flagName(setting)),
    formatCode(environmentName(setting)),
    describeDefault(schema, setting, node),
    node.description ?? ''
  ])
  return renderTable(['flag', 'variable', 'default', 'meaning'], rows)
}

function describeDefault (parent: SchemaNode, name: string, node: SchemaNode): string {
  if (node.default !== undefined) return formatCode(JSON.stringify(node.default))
  return parent.required?.includes(name) === true ? 'required' : 'none'
}

function renderDeclarationTables (): string {
  return Object.entries(declarationSchemas).map(([kind, schema]) => {
    const node = toSchemaNode(schema)
    return `#### ${kind}\n\n${renderTable(['field', 'value', 'default', 'meaning'], createFieldRows(node, ''))}`
  }).join('\n\n')
}

/** Creates a row per field, `kind` first; the fields of objects and list items follow their parent. */
function createFieldRows (parent: SchemaNode, prefix: string): string[][] {
  const fields = Object.entries(parent.properties ?? {})
  const ordered = [...fields.filter(([name]) => name === 'kind'), ...fields.filter(([name]) => name !== 'kind')]
  return ordered.flatMap(([name, node]) => {
    const row = [formatCode(prefix + name), describeValue(node), describeDefault(parent, name, node), node.description ?? '']
    const nested = node.items === undefined ? createFieldRows(node, `${prefix}${name}.`) : createFieldRows(node.items, `${prefix}${name}[].`)
    return [row, ...nested]
  })
}

function describeValue (node: SchemaNode): string {
  if (node.const !== undefined) return formatCode(String(node.const))
  if (node.enum !== undefined) return node.enum.map((value) => formatCode(String(value))).join(', ')
  if (node.items !== undefined) return `list of ${node.items.properties === undefined ? describeValue(node.items) : 'maps'}`
  if (node.properties !== undefined) return 'map'
  const names: Readonly<Record<string, string>> = { string: 'text', integer: 'whole number', number: 'number', boolean: '`true`, `false`' }
  return node.format === 'uri' ? 'URL' : names[node.type ?? ''] ?? ''
}

function renderRefusalTable (): string {
  const rows = Object.values(RefusalReason).map((reason) => {
    const { ran, cause, remedy } = REFUSAL_NOTES[reason]
    return [String(httpStatusOf(reason)), formatCode(reason), ran.map(formatCode).join(', '), cause, remedy]
  })
  rows.sort((a, b) => Number(a[0]) - Number(b[0]))
  return renderTable(['status', 'type', 'ran', 'cause', 'what to do'], rows)
}

function renderCommandTable (): string {
  const rows = COMMANDS.map((command) => {
    const usage = [command.words, ...command.parameters.map((parameter) => `<${parameter}>`)].join(' ')
    const flags = command.flags.map((flag) => formatCode(formatFlag(flag))).join(', ')
    return [formatCode(usage), command.summary, flags]
  })
  const variables = Object.entries(FLAG_TABLE).flatMap(([flag, { variable }]) => variable === undefined ? [] : [`${formatCode(formatFlag(flag))} also by ${formatCode(variable)}`])
  return `${renderTable(['command', 'what it does', 'flags'], rows)}\n\n${variables.join('; ')}. Every command takes ${formatCode('--json')} and ${formatCode('--help')}.`
}

function renderExitCodeTable (): string {
  return renderTable(['code', 'meaning'], Object.entries(EXIT_CODE_MEANING).map(([exit, meaning]) => [exit, meaning]))
}
