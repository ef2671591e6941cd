/** Direction in which a figure is compared with its bound. */
export enum BoundKind {
  AtMost = 'at-most',
  AtLeast = 'at-least',
}

/** A measured figure and its bound at the planned fleet size. */
export interface Figure {
  readonly measure: string
  readonly value: number
  readonly unit: string
  /** Absent where the figure is only reported. */
  readonly bound?: number
  /** @default BoundKind.AtMost */
  readonly boundKind?: BoundKind
  /** The same figure for the baseline, from the same run. */
  readonly baseline?: number
  /** Whether the value depends on the machine's speed. */
  readonly timing?: boolean
  /** Whether a missed bound is listed in KNOWN-RED.txt and does not fail the run. */
  readonly knownRed?: boolean
}

/** Returns whether a figure meets its bound; true without a bound. */
export function meetsBound(figure: Figure): boolean {
  if (figure.bound === undefined) return true
  return figure.boundKind === BoundKind.AtLeast
    ? figure.value >= figure.bound
    : figure.value <= figure.bound
}
