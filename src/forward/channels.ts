import { Channel } from './channel.js'

/** The connections of this host to backend servers, by address. */
export class Channels {
  private readonly idle = new Map<string, Channel[]>()

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
    if (!channel.isUsable) {
      channel.close()
      return
    }
    const kept = this.idle.get(address)
    if (kept === undefined) this.idle.set(address, [channel])
    else kept.push(channel)
  }

  /**
   * Closes idle connections to addresses that are not used any more.
   *
   * @param isUsed - whether an address belongs to a known server
   */
  retain (isUsed: (address: string) => boolean): void {
    for (const [address, kept] of this.idle) {
      if (isUsed(address)) continue
      kept.forEach(channel => channel.close())
      this.idle.delete(address)
    }
  }

  /** Closes all idle connections. */
  close (): void {
    this.retain(() => false)
  }
}
