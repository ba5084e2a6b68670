import { timeLeft } from '@cyclamenthread/transport'

/**
 * Joins the work that is in progress under a key, or begins it.
 *
 * @example
 * await shared(this.#claims, id, async () => await this.#claim(id))
 */
export async function shared<Result> (inProgress: Map<string, Promise<Result>>, key: string, begin: () => Promise<Result>): Promise<Result> {
  const known = inProgress.get(key)
  if (known !== undefined) return await known
  const work = begin().finally(() => inProgress.delete(key))
  inProgress.set(key, work)
  return await work
}

/**
 * Waits for work until a deadline; undefined if it isn't done by then. The work goes on.
 *
 * @example
 * const run = await untilDeadline(claiming, deadline)
 */
export async function untilDeadline<Result> (work: Promise<Result>, deadline: number): Promise<Result | undefined> {
  let timer: NodeJS.Timeout | undefined
  const late = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), timeLeft(deadline))
  })
  return await Promise.race([work, late]).finally(() => clearTimeout(timer))
}

/**
 * Returns the first result that matches; undefined once all are there and none does.
 *
 * @example
 * const page = await firstMatch([asked, stored], (page) => page.results.length > 0)
 */
export async function firstMatch<Result> (work: ReadonlyArray<Promise<Result>>, matches: (result: Result) => boolean): Promise<Result | undefined> {
  return await new Promise((resolve, reject) => {
    const checked = work.map(async (one) => {
      const result = await one
      if (matches(result)) resolve(result)
    })
    Promise.all(checked).then(() => resolve(undefined), reject)
  })
}
