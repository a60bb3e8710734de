/** A proxy between one host and the store, which can leave the host's calls without a response. */
import { connect, createServer } from 'node:net'

export class StoreProxy {
  /** Whether calls get no response; those made meanwhile never get one. */
  isSilent = false
  sockets = new Set()

  static async start (storeAddress) {
    const proxy = new StoreProxy()
    const [ip, port] = storeAddress.split(':')
    proxy.server = createServer(socket => {
      const upstream = connect(Number(port), ip)
      proxy.sockets.add(socket).add(upstream)
      let isStalled = false
      const pass = to => bytes => {
        isStalled ||= proxy.isSilent
        if (!isStalled) to.write(bytes)
      }
      socket.on('data', pass(upstream))
      upstream.on('data', pass(socket))
      for (const [from, to] of [[socket, upstream], [upstream, socket]]) {
        from.on('error', () => undefined)
        from.on('close', () => {
          proxy.sockets.delete(from)
          to.destroy()
        })
      }
    })
    await new Promise(resolve => proxy.server.listen(0, '127.0.0.1', resolve))
    proxy.address = `127.0.0.1:${proxy.server.address().port}`
    return proxy
  }

  close () {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }
}
