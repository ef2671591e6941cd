import type { ConfigurationLogRecord } from '@auburnbay/core'
import { MAX_HISTORY_CHARACTERS, MAX_HISTORY_RECORDS } from './constants.js'

interface RetainedRecord {
  readonly record: ConfigurationLogRecord
  readonly characters: number
}

/** The newest records of the configuration stream, kept for peers. */
export interface RecordHistory {
  add(records: readonly ConfigurationLogRecord[]): void
  clear(): void
  /** Returns the records from an offset on; undefined when some are gone. */
  recordsFrom(offset: number): ConfigurationLogRecord[] | undefined
}

/** Creates a history bounded in records and characters. */
export function createRecordHistory(): RecordHistory {
  let kept: RetainedRecord[] = []
  let characters = 0

  function trim(): void {
    while (
      kept.length > MAX_HISTORY_RECORDS ||
      characters > MAX_HISTORY_CHARACTERS
    )
      characters -= kept.shift()?.characters ?? characters
  }

  return {
    add(records) {
      for (const { offset, value } of records) {
        const record = { offset, value }
        const length = JSON.stringify(record).length
        kept.push({ record, characters: length })
        characters += length
      }
      trim()
    },
    clear() {
      kept = []
      characters = 0
    },
    recordsFrom(offset) {
      const first = kept[0]?.record.offset
      if (first === undefined || first > offset) return undefined
      return kept.map(({ record }) => record).filter((r) => r.offset >= offset)
    },
  }
}
