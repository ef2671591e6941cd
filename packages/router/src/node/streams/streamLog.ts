import type { Result } from 'neverthrow'
import type { SourceFault } from '../sources/sourceFault.js'
import type { StreamVersion } from './streamVersion.js'

/** Log of the streams that callers may resume, which outlives all routers. */
export interface StreamLog {
  /** Appends streams; resolves to whether that is confirmed. */
  append(streams: readonly StreamVersion[]): Promise<boolean>
  /** Returns all streams that the log still has. */
  readAll(): Promise<Result<StreamVersion[], SourceFault>>
}
