import neostandard from 'neostandard'

/** The layout rules of one configuration block, without those that judge the code. */
function layoutOnly (block) {
  if (block.rules === undefined) return block
  const rules = Object.entries(block.rules).filter(([name]) => name.startsWith('@stylistic/'))
  return { ...block, rules: Object.fromEntries(rules) }
}

/** Standard style's layout, which `npm run format` mends by itself. */
export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'out/**', 'target/**', 'journal/**'] }).map(layoutOnly),
  { linterOptions: { reportUnusedDisableDirectives: 'off' } }
]
