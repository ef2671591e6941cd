/** One JSON Patch operation (RFC 6902), as read from the log. */
export interface JsonOperation {
  readonly op: string
  readonly path: string
  /** Source path of a move or copy. */
  readonly from?: unknown
  readonly value?: unknown
}
