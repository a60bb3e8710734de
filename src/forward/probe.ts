import { Socket } from 'node:net'
import { parseEndpoint } from '../base/index.js'

/** Longest time to establish the connection of a probe, in milliseconds; allows for several round trips. */
const PROBE_TIMEOUT_MS = 250

/**
 * Checks whether a connection to a server can be established, and closes it.
 *
 * @param address - the server's IP address and port
 * @returns whether the server accepted the connection in time
 */
export function probeConnection (address: string): Promise<boolean> {
  const endpoint = parseEndpoint(address)
  if (endpoint === undefined) return Promise.resolve(false)
  const socket = new Socket()
  return new Promise(resolve => {
    const finish = (isEstablished: boolean): void => {
      resolve(isEstablished)
      socket.destroy()
    }
    socket.once('error', () => finish(false))
    // If the process was busy, the connection may be established already, which it learns before the check.
    socket.setTimeout(PROBE_TIMEOUT_MS, () => setImmediate(() => { if (socket.connecting) finish(false) }))
    socket.connect({ host: endpoint.ip, port: endpoint.port }, () => finish(true))
  })
}
