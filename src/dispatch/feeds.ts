import type { News, Standing } from './dispatch_pb.js'
import type { Gossip } from './gossip.js'

/** Sends changes of the store's rows to the hosts that use this scheduler, so that few hosts need to ask the store. */
export class Feeds {
  /** The version vector up to which each host was sent all changes. */
  private readonly revisionsByHost = new Map<string, readonly number[]>()

  /**
   * @param gossip - knows the rows
   * @param send - sends changes to a host
   */
  constructor (private readonly gossip: Gossip, private readonly send: (host: string, news: News) => void) {}

  /**
   * Feeds a host from the state on that it has, if that is not what it was sent.
   *
   * @param host - name of the host
   * @param versionVector - the version vector that it states
   */
  resume (host: string, versionVector: Standing | undefined): void {
    const revisions = versionVector?.revisions ?? []
    if (this.revisionsByHost.get(host)?.join() === revisions.join()) return
    this.feed(host, this.gossip.changesSince(revisions))
  }

  /** @param host - name of a host that is no longer connected */
  stop (host: string): void {
    this.revisionsByHost.delete(host)
  }

  /** Feeds all hosts. Also sent without changes, since hosts that are not fed for long ask the store themselves. */
  feedAll (): void {
    const newsByRevisions = new Map<string, News>()
    for (const [host, revisions] of this.revisionsByHost) {
      const key = revisions.join()
      const news = newsByRevisions.get(key) ?? this.gossip.changesSince(revisions)
      newsByRevisions.set(key, news)
      this.feed(host, news)
    }
  }

  private feed (host: string, news: News): void {
    this.revisionsByHost.set(host, news.standing!.revisions)
    this.send(host, news)
  }
}
