import { connect, type Socket } from 'node:net'

/** Sends something on a connection of a caller that does not behave; resolves when it was sent, or earlier. */
export type Behaviour = (socket: Socket, index: number) => Promise<void>

const HEAD = 'Host: a.example\r\nDeadline-Ms: 20000\r\n'

function sleep (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

/** Writes bytes; resolves when they were taken by the system, or the connection is closed. */
export function write (socket: Socket, bytes: Buffer | string): Promise<void> {
  return new Promise(resolve => {
    if (socket.destroyed) {
      resolve()
      return
    }
    socket.once('close', () => resolve())
    socket.write(bytes, () => {
      socket.removeAllListeners('close')
      resolve()
    })
  })
}

/** @returns the head of a POST request, with a further header line */
export function postHead (index: number, path: string, header: string): string {
  return `POST ${path} HTTP/1.1\r\n${HEAD}Attempt-Id: c${index}\r\n${header}\r\n\r\n`
}

/** @returns one chunk of a body */
function chunk (bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`)
}

/** Sends a body of a stated length at once, but for the last bytes. */
export function wholeBody (path: string, bytes: number, missingBytes: number): Behaviour {
  const body = Buffer.alloc(bytes - missingBytes, 'x')
  return async (socket, index) => {
    await write(socket, postHead(index, path, `Content-Length: ${bytes}`))
    await write(socket, body)
  }
}

/** Sends a body of a stated length in pieces, but for the last byte. */
export function bodyInPieces (path: string, bytes: number, pieces: number, pauseMs: number): Behaviour {
  const piece = Buffer.alloc(Math.floor((bytes - 1) / pieces), 'x')
  return async (socket, index) => {
    await write(socket, postHead(index, path, `Content-Length: ${bytes}`))
    for (let i = 0; i < pieces; i++) {
      await write(socket, piece)
      await sleep(pauseMs)
    }
  }
}

/** Sends a body in chunks, but for the last one. */
export function bodyInChunks (path: string, bytes: number, chunkBytes: number): Behaviour {
  const batchChunks = Math.max(1, Math.floor(16_384 / chunkBytes))
  const batch = Buffer.concat(Array.from({ length: batchChunks }, () => chunk(chunkBytes)))
  return async (socket, index) => {
    await write(socket, postHead(index, path, 'Transfer-Encoding: chunked'))
    for (let sent = 0; sent + batchChunks * chunkBytes < bytes; sent += batchChunks * chunkBytes) {
      await write(socket, batch)
    }
  }
}

/** Sends many bytes after a head, until the connection is closed. */
export function endlessBody (path: string, header: string, bytes: number): Behaviour {
  const isChunked = header.startsWith('Transfer-Encoding')
  const block = isChunked ? chunk(64 << 10) : Buffer.alloc(64 << 10, 'x')
  return async (socket, index) => {
    await write(socket, postHead(index, path, header))
    for (let sent = 0; sent < bytes && !socket.destroyed; sent += block.length) await write(socket, block)
  }
}

/** Sends a head that does not end. */
export function partialHead (bytes: number): Behaviour {
  const line = `x-a: ${'b'.repeat(200)}\r\n`
  return async socket => await write(socket, `GET / HTTP/1.1\r\n${HEAD}${line.repeat(Math.floor(bytes / line.length))}`)
}

/** Sends requests one after another without reading a response. */
export function unreadRequests (path: string, count: number): Behaviour {
  return async (socket, index) => {
    socket.pause()
    for (let i = 0; i < count && !socket.destroyed; i++) {
      await write(socket, `GET ${path} HTTP/1.1\r\n${HEAD}Attempt-Id: u${index}x${i}\r\n\r\n`)
    }
  }
}

/** Connections of callers that do not behave, which stay open. */
export class Crowd {
  private readonly sockets: Socket[] = []

  /**
   * Opens all connections at once.
   *
   * @param address - IP address and port
   * @param count - number of connections
   * @param behaviour - what each does
   * @returns the crowd, when all have sent what they send, or after a time limit
   */
  static async start (address: string, count: number, behaviour: Behaviour, limitMs: number): Promise<Crowd> {
    const crowd = new Crowd()
    const [ip, port] = address.split(':')
    const all = Promise.all(Array.from({ length: count }, async (_, index) => {
      const socket = connect(Number(port), ip)
      socket.on('error', () => undefined)
      socket.resume()
      crowd.sockets.push(socket)
      await behaviour(socket, index)
    }))
    await Promise.race([all, sleep(limitMs)])
    return crowd
  }

  close (): void {
    for (const socket of this.sockets) socket.destroy()
  }
}
