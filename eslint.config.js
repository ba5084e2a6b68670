import neostandard from 'neostandard'

/** The packages of this repository that each package may import; imports only go to lower layers. */
const LAYERS = {
  state: [],
  transport: [],
  protocol: ['state', 'transport'],
  coordination: ['state', 'protocol', 'transport'],
  cyclamenthread: ['state', 'protocol', 'transport', 'coordination'],
  cyclamenctl: ['state', 'protocol', 'transport'],
  standins: ['state', 'protocol', 'transport'],
  bench: ['state', 'protocol', 'transport', 'coordination', 'standins', 'cyclamenthread', 'cyclamenctl']
}

const PACKAGES = Object.keys(LAYERS)

/** Returns the name under which a package of this repository is imported. */
function importName (directory) {
  return directory.startsWith('cyclamen') ? directory : `@cyclamenthread/${directory}`
}

/** Returns a configuration block that rejects imports of packages that are not listed for a package. */
function layerRule (directory) {
  const forbidden = PACKAGES.filter((other) => !LAYERS[directory].includes(other) && other !== directory)
  return {
    files: [`packages/${directory}/src/lib/**/*.ts`],
    rules: {
      'no-restricted-imports': ['error', {
        paths: forbidden.map((other) => ({ name: importName(other), message: `${directory} may not import ${other}: imports only go downwards.` })),
        patterns: [{ group: ['@cyclamenthread/platform', '**/platform/src/**'], message: 'Only platform/ speaks to the platform.' }]
      }]
    }
  }
}

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'out/**', 'target/**', 'journal/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      'no-void': ['error', { allowAsStatement: true }],
      '@stylistic/max-statements-per-line': ['error', { max: 1 }]
    }
  },
  ...PACKAGES.map(layerRule)
]
