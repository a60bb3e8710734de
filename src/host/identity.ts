import { type Clock, timeId } from '../base/index.js'
import { type Member, Phase } from '../member/index.js'
import type { Settings } from '../settings/index.js'

/** Who this process is among the members. It becomes another member when others have logged it as failed. */
export class Identity {
  private present: Member | undefined

  /**
   * @param settings - the host's name and data centre
   * @param clock - the present time
   */
  constructor (private readonly settings: Settings, private readonly clock: Clock) {}

  /** This member. */
  get member (): Member {
    if (this.present === undefined) throw new Error('the addresses are not known yet')
    return this.present
  }

  /**
   * Becomes a new member.
   *
   * @param peerPort - the port where other hosts connect
   * @param callerPort - the port where callers connect
   */
  renew (peerPort: number, callerPort: number): void {
    const { host, peer, listen } = this.settings
    const announced = peer.announce ?? { ip: peer.ip, port: peerPort }
    this.present = {
      id: `${host}.${timeId(this.clock.now())}`,
      host,
      dataCentre: this.settings.data_centre,
      peerAddress: `${announced.ip}:${announced.port}`,
      callerAddress: `${listen.ip}:${callerPort}`,
      phase: Phase.live
    }
  }
}
