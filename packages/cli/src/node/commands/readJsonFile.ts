import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'

/**
 * Reads a JSON file, or standard input for `-`; the error explains how to correct
 * the argument.
 */
export function readJsonFile(path: string): Result<unknown, string> {
  const name = path === '-' ? 'standard input' : path
  try {
    const text = readFileSync(path === '-' ? 0 : path, 'utf8')
    return ok(JSON.parse(text) as unknown)
  } catch (error) {
    const reason = (error as Error).message
    return err(`${name}: ${reason}; name a readable JSON file or - for stdin`)
  }
}
