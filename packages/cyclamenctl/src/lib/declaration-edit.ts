import { readdir, readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { parseAllDocuments } from 'yaml'
import { DeclarationKind } from './declaration.js'
import type { Document } from 'yaml'

/**
 * Marks a key as withdrawn in the file that declares it; everything else in the
 * file, comments included, stays.
 *
 * @param folder path of the folder
 * @param id id of the key
 * @returns path of the file, or undefined when no file declares the key
 * @example
 * await markWithdrawn('examples/chalk-squares', 'booking-desk-1')
 */
export async function markKeyWithdrawn (folder: string, id: string): Promise<string | undefined> {
  const names = await readdir(folder).catch(() => [])
  for (const name of names.filter((file) => /\.ya?ml$/.test(file))) {
    const path = join(folder, name)
    const documents: Document[] = [...parseAllDocuments(await readFile(path, 'utf8'))]
    const declaring = documents.find((document) => document.get('kind') === DeclarationKind.Key && document.get('id') === id)
    if (declaring === undefined) continue
    declaring.set('withdrawn', true)
    await writeFile(path, documents.map((document) => document.toString({ directives: false })).join('---\n'))
    return path
  }
  return undefined
}
