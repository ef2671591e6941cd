import type { Result } from 'neverthrow'
import type { SourceFault } from './sourceFault.js'

/** A change of one key; without a value the key is gone. */
export interface SourceEntry<T> {
  readonly key: string
  readonly value?: T
}

/** The newest value of every key. */
export interface SourceListing<T> {
  readonly values: ReadonlyMap<string, T>
  /** Where reading goes on. */
  readonly end: number
}

/** Changes in their order. */
export interface SourcePage<T> {
  readonly entries: readonly SourceEntry<T>[]
  readonly end: number
}

/** Values by key that others write, readable as a whole and as changes. */
export interface KeyedSource<T> {
  list(): Promise<Result<SourceListing<T>, SourceFault>>
  /** Resolves with the changes from `from` on, or with none after a while. */
  read(from: number): Promise<Result<SourcePage<T>, SourceFault>>
}
