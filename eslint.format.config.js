import neostandard from 'neostandard'

/** Returns a configuration block with only its layout rules. */
function layoutOnly (block) {
  if (block.rules === undefined) return block
  const rules = Object.entries(block.rules).filter(([name]) => name.startsWith('@stylistic/'))
  return { ...block, rules: Object.fromEntries(rules) }
}

/** The layout rules of the Standard style, which `npm run format` fixes automatically. */
export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'out/**', 'target/**', 'journal/**'] }).map(layoutOnly),
  { linterOptions: { reportUnusedDisableDirectives: 'off' } }
]
