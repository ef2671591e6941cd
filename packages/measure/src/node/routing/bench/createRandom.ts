import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Seeded random number generator. */
export interface Random {
  /** Uniform in [0, 1). */
  unit(): number
  /** Uniform integer in [0, below). */
  below(below: number): number
  /** Exponentially distributed with the given mean. */
  exponential(mean: number): number
}

/** Creates a generator whose numbers depend only on the seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed)
  const unit = (): number => uniformFloat64(generator)
  return {
    unit,
    below: (below) => Math.floor(unit() * below),
    exponential: (mean) => -mean * Math.log(1 - unit()),
  }
}
