/** How a figure is held against its bound. */
export enum BoundKind {
  AtMost = 'at-most',
  AtLeast = 'at-least',
}

/** One measured figure with the bound that the target size sets. */
export interface Figure {
  readonly measure: string
  readonly value: number
  readonly unit: string
  /** Absent where the figure is only reported. */
  readonly bound?: number
  /** @default BoundKind.AtMost */
  readonly boundKind?: BoundKind
  /** The same figure of the baseline, from the same run. */
  readonly baseline?: number
  /** Whether the value depends on the machine's speed. */
  readonly timing?: boolean
  /** Whether KNOWN-RED.txt lists it, so that a missed bound fails no run. */
  readonly knownRed?: boolean
}

/** Returns whether a figure keeps its bound. */
export function keepsBound(figure: Figure): boolean {
  if (figure.bound === undefined) return true
  return figure.boundKind === BoundKind.AtLeast
    ? figure.value >= figure.bound
    : figure.value <= figure.bound
}
