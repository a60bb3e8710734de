import { readFileSync } from 'node:fs'

const TICK_MS = 10

/**
 * @param pid - a process that this run started
 * @returns the processor time it has used, in milliseconds
 */
export function cpuMs (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) * TICK_MS
}

/**
 * @param pid - a process that this run started
 * @returns the memory it occupies, in bytes
 */
export function residentBytes (pid: number): number {
  const line = readFileSync(`/proc/${pid}/status`, 'utf8').split('\n').find(each => each.startsWith('VmRSS'))
  return Number(/\d+/.exec(line ?? '')?.[0] ?? 0) * 1024
}
