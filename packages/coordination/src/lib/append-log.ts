import { mkdir, open, readdir, readFile, stat, unlink } from 'node:fs/promises'
import { join } from 'node:path'
import { crc32 } from 'node:zlib'
import type { FileHandle } from 'node:fs/promises'

/** Hexadecimal digits of a line's checksum. */
const CHECKSUM_DIGITS = 8

const FILE_SUFFIX = '.log'

/** Settings of one log. */
export interface AppendLogSettings {
  readonly folder: string
  /** Size from which on a new file is begun, in bytes. */
  readonly fileBytes: number
  /** Files kept; the oldest are removed. */
  readonly files: number
}

/** What a log holds. */
export interface LogContent {
  readonly lines: readonly string[]
  /** Lines whose checksum doesn't fit; they are left out. */
  readonly damaged: number
}

/**
 * Lines appended to files of one folder, each with a checksum. Bounded by
 * removing the oldest file; a damaged line is left out and counted, and the
 * lines around it stay readable. A crash can only damage the last line.
 *
 * Invariant: one append runs at a time, and is on the disk when it returns.
 */
export class AppendLog {
  readonly #settings: AppendLogSettings
  #file: FileHandle | undefined
  #bytes = 0
  #lastOperation: Promise<void> = Promise.resolve()

  constructor (settings: AppendLogSettings) {
    this.#settings = settings
  }

  /**
   * Appends lines.
   *
   * @param lines texts without line breaks
   * @example
   * await log.append([JSON.stringify(record)])
   */
  async append (lines: readonly string[]): Promise<void> {
    const appended = this.#lastOperation.then(async () => await this.#append(lines))
    this.#lastOperation = appended.catch(() => undefined)
    await appended
  }

  /** Everything that is kept, oldest first. */
  async read (): Promise<LogContent> {
    const lines: string[] = []
    let damaged = 0
    for (const name of await this.#listFiles()) {
      const text = await readFile(join(this.#settings.folder, name), 'utf8')
      for (const line of text.split('\n')) {
        if (line === '') continue
        const content = line.slice(CHECKSUM_DIGITS + 1)
        if (line.slice(0, CHECKSUM_DIGITS) === checksum(content)) lines.push(content)
        else damaged += 1
      }
    }
    return { lines, damaged }
  }

  /** Removes everything. */
  async clear (): Promise<void> {
    const cleared = this.#lastOperation.then(async () => {
      await this.#file?.close()
      this.#file = undefined
      for (const name of await this.#listFiles()) await unlink(join(this.#settings.folder, name))
    })
    this.#lastOperation = cleared.catch(() => undefined)
    await cleared
  }

  /** Waits for the appends in progress and closes the file. */
  async close (): Promise<void> {
    await this.#lastOperation
    await this.#file?.close()
    this.#file = undefined
  }

  async #append (lines: readonly string[]): Promise<void> {
    const text = lines.map((line) => `${checksum(line)} ${line}\n`).join('')
    const file = await this.#openFile()
    await file.appendFile(text)
    await file.datasync()
    this.#bytes += Buffer.byteLength(text)
    if (this.#bytes < this.#settings.fileBytes) return
    await file.close()
    this.#file = undefined
    await this.#removeOldFiles()
  }

  /** Each life of a process begins a new file, so that a line cut off by a crash is never continued. */
  async #openFile (): Promise<FileHandle> {
    if (this.#file !== undefined) return this.#file
    await mkdir(this.#settings.folder, { recursive: true })
    const last = (await this.#listFiles()).at(-1)
    const number = last === undefined ? 0 : Number.parseInt(last, 10) + 1
    this.#file = await open(join(this.#settings.folder, `${String(number).padStart(12, '0')}${FILE_SUFFIX}`), 'a')
    this.#bytes = 0
    await this.#removeOldFiles()
    return this.#file
  }

  async #removeOldFiles (): Promise<void> {
    const names = await this.#listFiles()
    for (const name of names.slice(0, Math.max(0, names.length - this.#settings.files))) await unlink(join(this.#settings.folder, name))
  }

  async #listFiles (): Promise<string[]> {
    const exists = await stat(this.#settings.folder).then(() => true, () => false)
    if (!exists) return []
    return (await readdir(this.#settings.folder)).filter((name) => name.endsWith(FILE_SUFFIX)).sort()
  }
}

function checksum (line: string): string {
  return crc32(line).toString(16).padStart(CHECKSUM_DIGITS, '0')
}
