import { mkdir, open, readdir, readFile, stat, unlink } from 'node:fs/promises'
import { join } from 'node:path'
import { crc32 } from 'node:zlib'
import type { FileHandle } from 'node:fs/promises'

/** Hexadecimal digits of the checksum that precedes each line. */
const CHECKSUM_DIGITS = 8

const FILE_SUFFIX = '.log'

/** Location and size limits of a log. */
export interface AppendLogSettings {
  readonly folder: string
  /** File size in bytes at which the log starts a new file. */
  readonly fileBytes: number
  /** Maximum number of files; the oldest ones beyond it are removed. */
  readonly files: number
}

/** Contents of a log. */
export interface LogContent {
  readonly lines: readonly string[]
  /** Number of lines omitted because their checksum doesn't match. */
  readonly damaged: number
}

/**
 * Append-only log of lines with checksums, split over the files of one folder.
 * Its size is bounded by removing the oldest file. A damaged line is skipped and
 * counted, and the lines around it stay readable. A crash can damage only the
 * last line.
 *
 * Invariant: appends run one at a time and have been flushed to disk when they
 * return.
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
   * Appends lines and flushes them to disk.
   *
   * @param lines must not contain line breaks
   * @example
   * await log.append([JSON.stringify(record)])
   */
  async append (lines: readonly string[]): Promise<void> {
    const appended = this.#lastOperation.then(async () => await this.#append(lines))
    this.#lastOperation = appended.catch(() => undefined)
    await appended
  }

  /** Reads all retained lines, oldest first. */
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

  /** Removes all lines. */
  async clear (): Promise<void> {
    const cleared = this.#lastOperation.then(async () => {
      await this.#file?.close()
      this.#file = undefined
      for (const name of await this.#listFiles()) await unlink(join(this.#settings.folder, name))
    })
    this.#lastOperation = cleared.catch(() => undefined)
    await cleared
  }

  /** Waits for pending appends and closes the file. */
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

  /** Starts a new file after each process start, so that nothing is appended to a line that a crash truncated. */
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
