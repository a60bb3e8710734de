import { readdirSync, readFileSync, readlinkSync } from 'node:fs'

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

/**
 * @param pid - process id
 * @returns the number of open descriptors, and the bytes that the system has received for the process's sockets and
 *   the process has not read
 */
export function socketUse (pid: number): { descriptors: number, unreadBytes: number } {
  const directory = `/proc/${pid}/fd`
  const names = readdirSync(directory)
  const inodes = new Set<string>()
  for (const name of names) {
    const inode = /^socket:\[(\d+)\]$/.exec(readLink(`${directory}/${name}`))?.[1]
    if (inode !== undefined) inodes.add(inode)
  }
  let unreadBytes = 0
  for (const line of readFileSync('/proc/net/tcp', 'utf8').trim().split('\n').slice(1)) {
    const fields = line.trim().split(/\s+/)
    if (inodes.has(fields[9]!)) unreadBytes += parseInt(fields[4]!.split(':')[1]!, 16)
  }
  return { descriptors: names.length, unreadBytes }
}

/** @returns the target of a link; empty if it is gone by now */
function readLink (path: string): string {
  try {
    return readlinkSync(path)
  } catch {
    return ''
  }
}
