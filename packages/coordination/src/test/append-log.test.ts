import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { AppendLog } from '../lib/append-log.js'
import type { ExecutionContext } from 'ava'

async function createFolder (t: ExecutionContext): Promise<string> {
  const path = await mkdtemp(join(tmpdir(), 'cyclamenthread-log-'))
  t.teardown(async () => await rm(path, { recursive: true }))
  return path
}

test('lines survive a restart, and only a damaged line is skipped', async (t) => {
  const settings = { folder: await createFolder(t), fileBytes: 1_000, files: 4 }
  const log = new AppendLog(settings)
  await log.append(['one', 'two', 'three'])
  await log.close()
  const [name] = await readdir(settings.folder)
  const path = join(settings.folder, name ?? '')
  await writeFile(path, (await readFile(path, 'utf8')).replace('two', 'twx'))
  const reopened = new AppendLog(settings)
  await reopened.append(['four'])
  t.deepEqual(await reopened.read(), { lines: ['one', 'three', 'four'], damaged: 1 })
  await reopened.close()
})

test('after a restart nothing is appended to a line that a crash truncated', async (t) => {
  const settings = { folder: await createFolder(t), fileBytes: 1_000, files: 4 }
  const log = new AppendLog(settings)
  await log.append(['whole', 'cut off'])
  await log.close()
  const path = join(settings.folder, (await readdir(settings.folder))[0] ?? '')
  const text = await readFile(path, 'utf8')
  await writeFile(path, text.slice(0, -4))
  const reopened = new AppendLog(settings)
  await reopened.append(['after'])
  t.deepEqual(await reopened.read(), { lines: ['whole', 'after'], damaged: 1 })
  await reopened.close()
})

test('the oldest lines are removed when the size limit is reached', async (t) => {
  const settings = { folder: await createFolder(t), fileBytes: 20, files: 3 }
  const log = new AppendLog(settings)
  for (let line = 0; line < 10; line++) await log.append([`line number ${line}`])
  await log.close()
  t.true((await readdir(settings.folder)).length <= 3)
  const { lines, damaged } = await log.read()
  t.is(lines.at(-1), 'line number 9')
  t.is(damaged, 0)
})
