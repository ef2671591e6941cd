import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Seeded random numbers of a trace. */
export interface Random {
  /** Uniform in [0, 1). */
  uniform(): number
  /** Exponentially distributed with the given mean. */
  exponential(mean: number): number
  /** Index chosen with the given probabilities, which add up to 1. */
  pick(shares: readonly number[]): number
}

/** Creates random numbers that the seed alone decides. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed)
  const uniform = (): number => uniformFloat64(generator)
  return {
    uniform,
    exponential: (mean) => -Math.log(1 - uniform()) * mean,
    pick(shares) {
      let left = uniform()
      for (const [index, share] of shares.entries()) {
        left -= share
        if (left < 0) return index
      }
      return shares.length - 1
    },
  }
}
