import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'

/** Answers one request, whose body has been read completely. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse, body: string) => void | Promise<void>

/**
 * Reads the complete body of a request.
 *
 * @param request - the request, whose body is unread
 * @returns the body, decoded as UTF-8
 */
async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}

/**
 * Sends a JSON response and ends it.
 *
 * @param response - the response
 * @param status - the HTTP status
 * @param value - the body, before serialisation
 */
export function sendJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}

/**
 * Starts an HTTP server on loopback. A request whose handler throws has its connection destroyed.
 *
 * @param port - the port; 0 takes any free one
 * @param handler - answers each request
 * @returns the listening server
 */
export function listenOnLoopback (port: number, handler: RequestHandler): Promise<Server> {
  const server = createServer((request, response) => {
    readBody(request).then(async body => { await handler(request, response, body) }).catch(() => response.destroy())
  })
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}

/**
 * @param server - a listening server
 * @returns its port; 0 if it does not listen on an IP address
 */
export function portOf (server: Server): number {
  const address = server.address()
  return address !== null && typeof address === 'object' ? address.port : 0
}
