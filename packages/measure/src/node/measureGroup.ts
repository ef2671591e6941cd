import type { Figure } from './figure.js'

/** A group of figures, selected by name: `npm run measure -- <name>`. */
export interface MeasureGroup {
  readonly name: string
  run(): Promise<Figure[]> | Figure[]
}
