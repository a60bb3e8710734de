import { type Clock, uuidV7 } from '../base/index.js'
import { type Member, Phase } from '../member/index.js'
import type { Settings } from '../settings/index.js'

/** This process's member entry. It is replaced by a new one after other hosts have logged it as failed. */
export class HostIdentity {
  private current: Member | undefined

  /**
   * @param settings - the host's name and data centre
   * @param clock - source of the time in member ids
   */
  constructor (private readonly settings: Settings, private readonly clock: Clock) {}

  /** This host's current member entry. Throws before the first {@link renew}. */
  get member (): Member {
    if (this.current === undefined) throw new Error('the member entry is not set before the host listens')
    return this.current
  }

  /**
   * Replaces the member entry by one with a new id.
   *
   * @param peerPort - the port on which the host accepts other hosts
   * @param callerPort - the port on which the host accepts callers
   */
  renew (peerPort: number, callerPort: number): void {
    const { host, peer, listen } = this.settings
    const announced = peer.announce ?? { ip: peer.ip, port: peerPort }
    this.current = {
      id: `${host}.${uuidV7(this.clock.now())}`,
      host,
      dataCentre: this.settings.data_centre,
      peerAddress: `${announced.ip}:${announced.port}`,
      callerAddress: `${listen.ip}:${callerPort}`,
      phase: Phase.live
    }
  }
}
