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
