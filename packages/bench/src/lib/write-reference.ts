import { readdir, readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { replaceTables } from './reference.js'

/** Folder of the documentation pages. */
export const DOCS_FOLDER = fileURLToPath(new URL('../../../../docs', import.meta.url))

/** Reads the documentation pages, each with its text and the text with regenerated tables. */
export async function readPages (): Promise<Array<{ readonly path: string, readonly text: string, readonly expected: string }>> {
  const names = (await readdir(DOCS_FOLDER)).filter((name) => name.endsWith('.md')).sort()
  return await Promise.all(names.map(async (name) => {
    const path = join(DOCS_FOLDER, name)
    const text = await readFile(path, 'utf8')
    return { path, text, expected: replaceTables(text) }
  }))
}

/** Regenerates the tables of all pages and writes those that changed. */
export async function writeReference (): Promise<void> {
  for (const page of await readPages()) {
    if (page.text !== page.expected) await writeFile(page.path, page.expected)
  }
}
