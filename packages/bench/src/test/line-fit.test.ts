import test from 'ava'
import fc from 'fast-check'
import { fitLine } from '../lib/line-fit.js'

const SEED = 20_261_204

test(`fitting points of a line returns that line (seed ${SEED})`, (t) => {
  const small = fc.integer({ min: -1_000, max: 1_000 })
  fc.assert(fc.property(small, small, fc.uniqueArray(small, { minLength: 2, maxLength: 8 }), (slope, intercept, xs) => {
    const fit = fitLine(xs.map((x) => ({ x, y: intercept + slope * x })))
    return Math.abs(fit.slope - slope) < 1e-6 && Math.abs(fit.intercept - intercept) < 1e-3 && fit.worstError < 1e-6
  }), { seed: SEED, numRuns: 1_000 })
  t.pass()
})
