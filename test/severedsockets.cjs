/**
 * Preloaded into a host process of a test. On messages of the test it cuts the process off from some ports, as a
 * network that loses, resets or refuses its connections there.
 */
const { Socket } = require('node:net')

/** Tells servers apart which host a connection is from, since all hosts of a test run on one address. */
const localAddress = process.env.SEVERABLE_IP

const sockets = new Set()
const state = { mode: undefined, ports: new Set() }
const connect = Socket.prototype.connect

function portOf (args) {
  const options = Array.isArray(args[0]) ? args[0][0] : args[0]
  return Number(options?.port)
}

function fail (socket, code) {
  process.nextTick(() => socket.destroy(Object.assign(new Error(code), { code })))
}

/** Loses all bytes in both directions from now on. */
function silence (socket) {
  socket.push = () => true
  socket._write = () => undefined
  socket._writev = undefined
}

Socket.prototype.connect = function (...args) {
  const port = portOf(args)
  if (state.mode === undefined || state.mode === 'stall' || !state.ports.has(port)) {
    this.severablePort = port
    sockets.add(this)
    this.once('close', () => sockets.delete(this))
    const options = Array.isArray(args[0]) ? args[0][0] : args[0]
    if (options.localAddress === undefined) options.localAddress = localAddress
    return connect.apply(this, args)
  }
  this.connecting = true
  if (state.mode !== 'silent') fail(this, 'ECONNREFUSED')
  return this
}

process.on('message', ({ mode, ports }) => {
  state.mode = mode
  state.ports = new Set(ports)
  for (const socket of sockets) {
    if (!state.ports.has(socket.severablePort)) continue
    if (mode === 'silent' || mode === 'stall') silence(socket)
    if (mode === 'reset') fail(socket, 'ECONNRESET')
  }
  process.send('done')
})
// The channel alone must not keep the process alive.
process.channel.unref()
