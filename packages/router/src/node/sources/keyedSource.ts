import type { Result } from 'neverthrow'
import type { SourceFault } from './sourceFault.js'

/** A change of one key; without a value the key was deleted. */
export interface SourceEntry<T> {
  readonly key: string
  readonly value?: T
}

/** The newest value of every key. */
export interface SourceListing<T> {
  readonly values: ReadonlyMap<string, T>
  /** Offset of the next read. */
  readonly nextOffset: number
}

/** Changes in log order. */
export interface SourcePage<T> {
  readonly entries: readonly SourceEntry<T>[]
  /** Offset of the next read. */
  readonly nextOffset: number
  /** Offset after the last change of the log as it responded; by default {@link nextOffset}. */
  readonly endOffset?: number
}

/** Keyed values written by others, readable as a whole and as a log of changes. */
export interface KeyedSource<T> {
  list(): Promise<Result<SourceListing<T>, SourceFault>>
  /**
   * Milliseconds for which a read waits for changes.
   * @default 0
   */
  readonly waitMs?: number
  /** Long-polls for changes from offset `from` on; resolves with none on a timeout. */
  read(from: number): Promise<Result<SourcePage<T>, SourceFault>>
}
