import type { KeyedSource } from './keyedSource.js'

/** A keyed source that routers write to. */
export interface KeyedStore<T> extends KeyedSource<T> {
  /** Sets the value of a key; resolves to whether that is confirmed. */
  put(key: string, value: T): Promise<boolean>
  /** Deletes a key; resolves to whether that is confirmed. */
  remove(key: string): Promise<boolean>
}
