import type { ConfigurationLogRecord } from '@auburnbay/core'
import { HISTORY_CHARACTERS, HISTORY_RECORDS } from './constants.js'

interface Kept {
  readonly record: ConfigurationLogRecord
  readonly characters: number
}

/** The newest records of the configuration stream, kept for peers. */
export interface RecordHistory {
  add(records: readonly ConfigurationLogRecord[]): void
  clear(): void
  /** Returns the records from an offset on; undefined when some are gone. */
  from(offset: number): ConfigurationLogRecord[] | undefined
}

/** Creates a history bounded in records and characters. */
export function createRecordHistory(): RecordHistory {
  let kept: Kept[] = []
  let characters = 0

  function trim(): void {
    while (kept.length > HISTORY_RECORDS || characters > HISTORY_CHARACTERS)
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
    from(offset) {
      const first = kept[0]?.record.offset
      if (first === undefined || first > offset) return undefined
      return kept.map(({ record }) => record).filter((r) => r.offset >= offset)
    },
  }
}
