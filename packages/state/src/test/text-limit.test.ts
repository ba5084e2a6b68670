import test from 'ava'
import { textLimitOf } from '@cyclamenthread/state'

// Guards against a text that grows until the process runs out of memory (LOST).
test('a text holds no more events than its request allows tokens, and no more characters than a page of results', (t) => {
  t.deepEqual(textLimitOf({ maxAnswerTokens: 400, tokens: 1_416 }), { maxEvents: 400, maxCharacters: 409_600 })
  t.deepEqual(textLimitOf({ tokens: 500 }), { maxEvents: 500, maxCharacters: 512_000 })
  t.is(textLimitOf({ maxAnswerTokens: 1e9, tokens: 0 }).maxCharacters, 1_048_576)
  t.is(textLimitOf({ tokens: 0 }).maxCharacters, 1_048_576)
})
