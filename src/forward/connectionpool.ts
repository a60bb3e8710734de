import { Channel } from './connection.js'

/** The connections of this host to backend servers, by address. */
export class Channels {
  private readonly idle = new Map<string, Channel[]>()
  private bounds: ReadonlyMap<string, number> = new Map()

  /**
   * Takes a connection; the one that was used last, so that others run into their idle time-out.
   *
   * @param address - the server's IP number and port
   * @returns a connection that carries no request
   */
  take (address: string): Channel {
    const kept = this.idle.get(address)
    for (let channel = kept?.pop(); channel !== undefined; channel = kept?.pop()) {
      if (channel.isUsable) return channel
      channel.close()
    }
    return new Channel(address)
  }

  /**
   * Gives a connection back after a whole answer.
   *
   * @param address - the server's IP number and port
   * @param channel - the connection
   */
  giveBack (address: string, channel: Channel): void {
    const kept = this.idle.get(address)
    if (!channel.isUsable || (kept?.length ?? 0) >= (this.bounds.get(address) ?? 0)) {
      channel.close()
      return
    }
    if (kept === undefined) this.idle.set(address, [channel])
    else kept.push(channel)
  }

  /**
   * Sets how many idle connections are kept, and closes those beyond.
   *
   * @param bounds - how many to each address; none to one that is not named
   */
  keep (bounds: ReadonlyMap<string, number>): void {
    this.bounds = bounds
    for (const [address, kept] of this.idle) {
      for (const channel of kept.splice(bounds.get(address) ?? 0)) channel.close()
      if (kept.length === 0) this.idle.delete(address)
    }
  }

  /** Closes all idle connections. */
  close (): void {
    this.keep(new Map())
  }
}
