import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'

/** Answers one request. */
export type Handler = (request: IncomingMessage, response: ServerResponse, body: string) => void | Promise<void>

/**
 * Reads a whole body.
 *
 * @param request - the request
 * @returns the body
 */
async function readAll (request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = []
  for await (const part of request) parts.push(part as Buffer)
  return Buffer.concat(parts).toString('utf8')
}

/**
 * Sends JSON.
 *
 * @param response - where to
 * @param status - the HTTP status
 * @param value - what to send
 */
export function sendJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}

/**
 * Serves at a loopback port.
 *
 * @param port - the port; 0 takes any free one
 * @param handler - answers each request
 * @returns the server, listening
 */
export function serveAt (port: number, handler: Handler): Promise<Server> {
  const server = createServer((request, response) => {
    readAll(request).then(async body => { await handler(request, response, body) }).catch(() => response.destroy())
  })
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}

/**
 * @param server - a listening server
 * @returns its port
 */
export function portOf (server: Server): number {
  const address = server.address()
  return address !== null && typeof address === 'object' ? address.port : 0
}
