import fc from 'fast-check'
import test from 'ava'
import { AnswerBudget } from '@cyclamenthread/state'

const LIMIT = 1_000

// Guards against a process that runs out of memory because many endpoints send long answers at once (LOST).
test('whatever is read in whatever order, no more than the limit and one piece of each answer is held, and short answers go on', (t) => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.integer({ min: 0, max: 7 }), fc.integer({ min: 1, max: 200 })), { maxLength: 100 }), (pieces) => {
    const budget = new AnswerBudget(LIMIT)
    const answers = Array.from({ length: 8 }, () => ({ share: budget.open(), held: 0, isOpen: true }))
    for (const [index, bytes] of pieces) {
      const answer = answers[index]
      if (answer?.isOpen !== true) continue
      answer.held += bytes
      const goesOn = answer.share.take(bytes)
      const open = answers.filter(({ isOpen }) => isOpen)
      if (!goesOn) {
        if (answer.held <= LIMIT / open.length) return false
        answer.share.close()
        answer.isOpen = false
        answer.held = 0
      }
      if (answers.reduce((sum, { held }) => sum + held, 0) > LIMIT + 200) return false
    }
    return true
  }), { seed: 20261205, numRuns: 1_000 })
  t.pass()
})
