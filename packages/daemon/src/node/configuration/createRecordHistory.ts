import type { ConfigurationLogRecord } from '@auburnbay/core'
import { MAX_HISTORY_CHARACTERS, MAX_HISTORY_RECORDS } from './constants.js'

interface RetainedRecord {
  readonly record: ConfigurationLogRecord
  readonly characters: number
}

/**
 * Newest records of the configuration stream, served to peers that are behind.
 */
export interface RecordHistory {
  add(records: readonly ConfigurationLogRecord[]): void
  clear(): void
  /**
   * Returns the records from an offset on, or undefined when some were evicted.
   */
  recordsFrom(offset: number): ConfigurationLogRecord[] | undefined
}

/**
 * Creates a history limited in records and in characters; the oldest are
 * evicted first.
 */
export function createRecordHistory(): RecordHistory {
  let retained: RetainedRecord[] = []
  let characters = 0

  function evictOldest(): void {
    while (
      retained.length > MAX_HISTORY_RECORDS ||
      characters > MAX_HISTORY_CHARACTERS
    )
      characters -= retained.shift()?.characters ?? characters
  }

  return {
    add(records) {
      for (const { offset, value } of records) {
        const record = { offset, value }
        const length = JSON.stringify(record).length
        retained.push({ record, characters: length })
        characters += length
      }
      evictOldest()
    },
    clear() {
      retained = []
      characters = 0
    },
    recordsFrom(offset) {
      const first = retained[0]?.record.offset
      if (first === undefined || first > offset) return undefined
      return retained
        .map(({ record }) => record)
        .filter((r) => r.offset >= offset)
    },
  }
}
