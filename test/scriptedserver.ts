import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** Handles one request of a scripted server, given its raw text, its index from 0 and the connection. */
export type Script = (request: string, index: number, socket: Socket) => void

/** A TCP server that handles raw HTTP requests with a script. */
export class ScriptedServer {
  /** The raw text of each request, in order of arrival. */
  readonly requests: string[] = []
  connections = 0
  /** The connections on which a request arrived; checks of the path to the server send none. */
  readonly usedConnections = new Set<Socket>()
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly server: Server, readonly address: string, readonly script: Script) {}

  /**
   * @param script - what the server does
   * @param port - its port; any free one if 0
   * @param isRequest - whether the received text is a request that the script handles
   */
  static async start (script: Script, port = 0, isRequest = isCompleteRequest): Promise<ScriptedServer> {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(port, '127.0.0.1', resolve) })
    const scriptedServer = new ScriptedServer(server, `127.0.0.1:${(server.address() as AddressInfo).port}`, script)
    server.on('connection', socket => {
      scriptedServer.connections++
      scriptedServer.sockets.add(socket)
      socket.on('error', () => undefined)
      let text = ''
      socket.on('data', bytes => {
        text += bytes.toString('latin1')
        if (!isRequest(text)) return
        scriptedServer.requests.push(text)
        scriptedServer.usedConnections.add(socket)
        const request = text
        text = ''
        script(request, scriptedServer.requests.length - 1, socket)
      })
    })
    return scriptedServer
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  /** Ends like a process that crashes: all connections are reset. */
  crash (): void {
    this.server.close()
    for (const socket of this.sockets) socket.resetAndDestroy()
  }
}

/** @returns whether the head of a request is complete, for servers that respond before they read its body */
export function hasHead (text: string): boolean {
  return text.includes('\r\n\r\n')
}

function isCompleteRequest (text: string): boolean {
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd === -1) return false
  const length = Number(/\r\ncontent-length: *(\d+)/i.exec(text)?.[1] ?? 0)
  return text.length >= headEnd + 4 + length
}

/** Writes a response with a Content-Length header. */
export function respond (socket: Socket, status: string, body: string, headers: string[] = []): void {
  const lines = [`HTTP/1.1 ${status}`, `Content-Length: ${body.length}`, ...headers, '', body]
  socket.write(lines.join('\r\n'))
}
