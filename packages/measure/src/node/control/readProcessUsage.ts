import { readFileSync } from 'node:fs'

/** Clock ticks per second in /proc/PID/stat. */
const TICKS_PER_S = 100
const KIB = 1_024
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12

/** Resources that a process has used so far. */
export interface ProcessUsage {
  /** CPU time, in seconds. */
  readonly cpuS: number
  /** Resident memory, in bytes. */
  readonly residentBytes: number
}

/** Reads the CPU time and resident memory of a process from /proc. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const resident = /VmRSS:\s+(\d+) kB/.exec(status)?.[1]
  return {
    cpuS: ticks / TICKS_PER_S,
    residentBytes: Number(resident) * KIB,
  }
}
