import { readFileSync } from 'node:fs'

/** Unit of the processor times in /proc, in milliseconds (USER_HZ = 100). */
const CLOCK_TICK_MS = 10

/**
 * @param pid - process id
 * @returns the processor time that the process has used, user and system, in milliseconds
 */
export function cpuTimeMs (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS
}

/**
 * @param pid - process id
 * @returns the resident memory of the process, in bytes
 */
export function residentBytes (pid: number): number {
  const line = readFileSync(`/proc/${pid}/status`, 'utf8').split('\n').find(each => each.startsWith('VmRSS'))
  return Number(/\d+/.exec(line ?? '')?.[0] ?? 0) * 1024
}
