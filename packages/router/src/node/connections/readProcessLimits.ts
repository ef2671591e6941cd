import { readFileSync } from 'node:fs'
import { totalmem } from 'node:os'
import { getHeapStatistics } from 'node:v8'
import type { RouterSettings } from '../settings/settingsSchema.js'

/** What the operating system and the runtime allow this process. */
export interface ProcessLimits {
  readonly descriptors: number
  /** Memory of the VM, in bytes. */
  readonly memoryBytes: number
  /** Largest heap, in bytes. */
  readonly heapBytes: number
}

/** Limits that the settings state. */
export type StatedLimits = RouterSettings['limits']

const BYTES_PER_MIB = 1024 * 1024
/** Descriptors of a process whose limit cannot be read. */
const DEFAULT_DESCRIPTORS = 4_096
const LIMITS_FILE = '/proc/self/limits'

/** Returns the soft limit on open files in the text of the kernel's limits file; undefined if it names none. */
export function parseDescriptors(limits: string): number | undefined {
  const [, soft] = /^Max open files\s+(\d+)/m.exec(limits) ?? []
  return soft === undefined ? undefined : Number(soft)
}

function readDescriptors(): number {
  try {
    const limits = readFileSync(LIMITS_FILE, 'utf8')
    return parseDescriptors(limits) ?? DEFAULT_DESCRIPTORS
  } catch {
    // Only Linux has the file.
    return DEFAULT_DESCRIPTORS
  }
}

/**
 * Returns the limits of this process.
 * @param stated Limits of the VM, which the operating system need not know.
 */
export function readProcessLimits(stated: StatedLimits): ProcessLimits {
  const { descriptors, memoryMb } = stated
  return {
    descriptors: descriptors ?? readDescriptors(),
    memoryBytes: memoryMb === undefined ? totalmem() : memoryMb * BYTES_PER_MIB,
    heapBytes: getHeapStatistics().heap_size_limit,
  }
}
