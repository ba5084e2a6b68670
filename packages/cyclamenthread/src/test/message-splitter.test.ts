import test from 'ava'
import { MessagePart, MessageSplitter } from '../lib/clients/message-splitter.js'

const HEAD = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'

/** Lengths of the pieces of a text that is received whole. */
function pieceLengths (splitter: MessageSplitter, text: string): number[] {
  const chunk = Buffer.from(text)
  const lengths: number[] = []
  for (let offset = 0; offset < chunk.length;) {
    const end = splitter.endOfPiece(chunk, offset)
    lengths.push(end - offset)
    offset = end
  }
  return lengths
}

// Guards against thousands of pipelined requests in one call of the parser.
test('no piece contains the ends of two heads, wherever a read ends', (t) => {
  const splitter = new MessageSplitter()
  t.deepEqual(pieceLengths(splitter, HEAD.repeat(3)), [HEAD.length, HEAD.length, HEAD.length])
  for (let cut = 1; cut < HEAD.length; cut += 1) {
    const other = new MessageSplitter()
    t.deepEqual(pieceLengths(other, HEAD.slice(0, cut)), [cut])
    t.deepEqual(pieceLengths(other, HEAD.slice(cut) + HEAD), [HEAD.length - cut, HEAD.length], `cut at ${cut}`)
  }
})

// Guards against lines without carriage returns, which Node's parser accepts.
test('an empty line may end with a line feed alone', (t) => {
  t.deepEqual(pieceLengths(new MessageSplitter(), 'GET / HTTP/1.1\nHost: h\n\nGET'), [24, 3])
})

// Guards against a body of line feeds that is parsed byte by byte.
test('a body of stated size is one piece, and ends before the next head', (t) => {
  const splitter = new MessageSplitter()
  splitter.beginBody(MessagePart.SizedBody, 4)
  const chunk = Buffer.from(`\n\n\n\n${HEAD}`)
  t.is(splitter.endOfPiece(chunk, 0), 4)
  t.true(splitter.isBodyRead)
})

// Guards against thousands of small chunks in one turn of the event loop.
test('a chunked body of short lines is split, and one of long lines is not', (t) => {
  const splitter = new MessageSplitter()
  splitter.beginBody(MessagePart.ChunkedBody)
  const short = Buffer.from('1\r\nx\r\n'.repeat(1_000))
  t.true(splitter.endOfPiece(short, 0) < 400)
  t.true(splitter.isDense)
  const long = Buffer.from(`100\r\n${'x'.repeat(256)}\r\n`.repeat(100))
  t.is(splitter.endOfPiece(long, 0), long.length)
  t.false(splitter.isDense)
})
