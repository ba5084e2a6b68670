/** What one answer that is being read holds of an {@link AnswerBudget}. */
export interface AnswerShare {
  /** Records bytes that were read; returns whether the answer may go on. */
  take (bytes: number): boolean
  /** Gives back what the answer held. */
  close (): void
}

/**
 * Bounds the bytes that all answers hold together while they are read, so that many
 * long ones can't fill the memory of a process.
 *
 * Invariant: an answer that holds no more than an equal share of the limit is never given up.
 *
 * @example
 * const share = new AnswerBudget(1_048_576).open()
 * if (!share.take(chunk.length)) giveUp()
 */
export class AnswerBudget {
  readonly #limit: number
  #held = 0
  #answers = 0

  /** @param limit in bytes */
  constructor (limit: number) {
    this.#limit = limit
  }

  /** Starts to account for an answer. */
  open (): AnswerShare {
    let own = 0
    this.#answers += 1
    return {
      take: (bytes) => {
        own += bytes
        this.#held += bytes
        return this.#held <= this.#limit || own <= this.#limit / this.#answers
      },
      close: () => {
        this.#held -= own
        this.#answers -= 1
      }
    }
  }
}
