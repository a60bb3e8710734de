import { isIPv4 } from 'node:net'

const MAX_PORT = 65_535

/** An IP address and a port. */
export interface Endpoint {
  readonly ip: string
  readonly port: number
}

/**
 * @param text - an IPv4 address and a port, separated by a colon
 * @returns both, or undefined if no connection can be made to the text
 */
export function parseEndpoint (text: string): Endpoint | undefined {
  const [, ip = '', digits = ''] = /^([^:]*):(\d{1,5})$/.exec(text) ?? []
  const port = Number(digits)
  return isIPv4(ip) && port > 0 && port <= MAX_PORT ? { ip, port } : undefined
}
