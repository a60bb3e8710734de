import { connect, createServer, type Server, type Socket } from 'node:net'

interface Pair {
  readonly from: string
  readonly inner: Socket
  readonly outer: Socket
}

/** Stands before one host's peer port and can cut it off from chosen callers, without closing connections. */
export class Cut {
  private readonly pairs = new Set<Pair>()
  private readonly blocked = new Set<string>()
  private server: Server | undefined
  private target = { ip: '', port: 0 }

  /**
   * @param ip - the IP number that the host listens at
   * @param port - the port that the host listens at
   */
  aim (ip: string, port: number): void {
    this.target = { ip, port }
  }

  /** @returns the port that others connect to */
  listen (): Promise<number> {
    this.server = createServer({ allowHalfOpen: false }, socket => this.accept(socket))
    return new Promise(resolve => {
      this.server!.listen(0, '127.0.0.1', () => {
        const address = this.server!.address()
        resolve(address !== null && typeof address === 'object' ? address.port : 0)
      })
    })
  }

  /** @param from - the IP number whose bytes no longer pass, either way */
  block (from: string): void {
    this.blocked.add(from)
    for (const pair of this.pairs) {
      if (pair.from !== from) continue
      pair.inner.pause()
      pair.outer.pause()
    }
  }

  /** @param from - the IP number that may connect again; its silent connections end */
  unblock (from: string): void {
    this.blocked.delete(from)
    for (const pair of this.pairs) if (pair.from === from) this.drop(pair)
  }

  /** Stops at once. */
  close (): void {
    this.server?.close()
    for (const pair of this.pairs) this.drop(pair)
  }

  private accept (outer: Socket): void {
    const from = outer.remoteAddress ?? ''
    const inner = connect({ host: this.target.ip, port: this.target.port, noDelay: true })
    outer.setNoDelay(true)
    const pair = { from, inner, outer }
    this.pairs.add(pair)
    inner.on('data', bytes => outer.write(bytes))
    outer.on('data', bytes => inner.write(bytes))
    for (const socket of [inner, outer]) {
      socket.on('error', () => this.drop(pair))
      socket.on('close', () => this.drop(pair))
    }
    if (!this.blocked.has(from)) return
    inner.pause()
    outer.pause()
  }

  private drop (pair: Pair): void {
    this.pairs.delete(pair)
    pair.inner.destroy()
    pair.outer.destroy()
  }
}
