import type { Figure } from './figure.js'

/** A group of figures that one argument of `npm run measure` names. */
export interface MeasureGroup {
  readonly name: string
  run(): Promise<Figure[]> | Figure[]
}
