import test from 'ava'
import fc from 'fast-check'
import { CatalogueReplica } from '../lib/catalogue-replica.js'
import type { CataloguePart } from '@cyclamenthread/protocol'
import type { CatalogueOrigin, CatalogueState } from '../lib/catalogue-origin.js'

const SEED = Number(process.env['PROPERTY_SEED'] ?? 20_261_204)
const RUNS = Number(process.env['PROPERTY_RUNS'] ?? 1_000)

const PARTS: ReadonlyMap<string, CataloguePart> = new Map(['a', 'b', 'c'].map((name) => [name, {
  workspaces: [{ name, owner: 'test', weight: 1, limits: {} }], keys: []
}]))

const origin = fc.record({
  revision: fc.integer({ min: 1, max: 6 }),
  roster: fc.integer({ min: 0, max: 6 }),
  releases: fc.integer({ min: 0, max: 6 }),
  /** Whether the origin can be reached. */
  reached: fc.boolean(),
  /** Whether the origin still has the parts of its head. */
  whole: fc.boolean(),
  slow: fc.integer({ min: 0, max: 3 })
})

/** Returns the names of the parts of a revision, which are the same at every origin. */
function partNamesOf (revision: number): string[] {
  return ['a', 'b', 'c'].slice(0, 1 + revision % 3)
}

function createOrigin (given: typeof origin extends fc.Arbitrary<infer Given> ? Given : never): CatalogueOrigin & { readonly asked: string[] } {
  const state: CatalogueState = {
    head: { revision: given.revision, parts: partNamesOf(given.revision) },
    roster: { sequence: given.roster, endpoints: [] },
    releases: { sequence: given.releases, releases: [] }
  }
  const turns = async (): Promise<void> => {
    for (let turn = 0; turn < given.slow; turn++) await Promise.resolve()
  }
  const asked: string[] = []
  return {
    asked,
    fetchState: async () => {
      await turns()
      return given.reached ? state : undefined
    },
    fetchParts: async (digests) => {
      asked.push(...digests)
      await turns()
      return given.whole ? new Map([...PARTS].filter(([name]) => digests.includes(name))) : new Map()
    }
  }
}

test(`no revision decreases and every view is complete, for any origins in any order (seed ${SEED})`, async (t) => {
  await fc.assert(fc.asyncProperty(fc.array(fc.array(origin, { maxLength: 4 }), { maxLength: 8 }), async (rounds) => {
    const holder = new CatalogueReplica()
    let last = holder.revisions
    holder.onChange((view) => {
      const now = holder.revisions
      const down = now.catalogue < last.catalogue || now.roster < last.roster || now.releases < last.releases
      if (down) throw new Error(`went from ${JSON.stringify(last)} to ${JSON.stringify(now)}`)
      if (view.revision !== now.catalogue) throw new Error('the view and the reported revision differ')
      const names = view.catalogue.workspaces.map((workspace) => workspace.name).sort()
      if (names.join() !== partNamesOf(view.revision).join()) throw new Error(`revision ${view.revision} holds ${names.join()}`)
      last = now
    })
    for (const round of rounds) await Promise.all(round.map(async (given) => await holder.pull(createOrigin(given))))
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test('a part that is already held is not fetched again', async (t) => {
  const holder = new CatalogueReplica()
  const given = { roster: 0, releases: 0, reached: true, whole: true, slow: 0 }
  await holder.pull(createOrigin({ ...given, revision: 1 }))
  const newer = createOrigin({ ...given, revision: 2 })
  await holder.pull(newer)
  t.deepEqual(newer.asked, ['c'])
})
