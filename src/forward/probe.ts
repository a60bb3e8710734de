import { Socket } from 'node:net'
import { parseEndpoint } from '../base/index.js'

/** Longest time to establish the connection of a probe, in milliseconds; allows for several round trips. */
const PROBE_TIMEOUT_MS = 250

/** Result of a probe. */
const ProbeResult = { established: 'established', refused: 'refused', unanswered: 'unanswered' } as const
type ProbeResult = typeof ProbeResult[keyof typeof ProbeResult]

/** Error codes of a connection whose port no process listens on. */
const REFUSED_CODES: ReadonlySet<string | undefined> = new Set(['ECONNREFUSED', 'ECONNRESET'])

/**
 * Checks whether a connection to a server can be established, and closes it.
 *
 * @param address - the server's IP address and port
 * @returns whether the server accepted the connection in time
 */
export async function probeConnection (address: string): Promise<boolean> {
  return await probe(address) === ProbeResult.established
}

/**
 * Checks whether a server's process has ended, though its machine responds.
 *
 * @param address - the server's IP address and port
 * @returns whether the connection was refused
 */
export async function isRefused (address: string): Promise<boolean> {
  return await probe(address) === ProbeResult.refused
}

function probe (address: string): Promise<ProbeResult> {
  const endpoint = parseEndpoint(address)
  if (endpoint === undefined) return Promise.resolve(ProbeResult.unanswered)
  const socket = new Socket()
  return new Promise(resolve => {
    const finish = (result: ProbeResult): void => {
      resolve(result)
      socket.destroy()
    }
    socket.once('error', ({ code }: NodeJS.ErrnoException) => {
      finish(REFUSED_CODES.has(code) ? ProbeResult.refused : ProbeResult.unanswered)
    })
    // If the process was busy, the connection may be established already, which it learns before the check.
    socket.setTimeout(PROBE_TIMEOUT_MS, () => setImmediate(() => {
      if (socket.connecting) finish(ProbeResult.unanswered)
    }))
    socket.connect({ host: endpoint.ip, port: endpoint.port }, () => finish(ProbeResult.established))
  })
}
