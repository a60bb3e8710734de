import type { Deployment } from '../standins/deployment.js'

/** Injects a fault into a deployment; resolves after a temporary fault has been removed. */
export type Fault = (deployment: Deployment) => Promise<void>

const LONG_FREEZE_MS = 7_000
const SHORT_FREEZE_MS = 1_500
const CUT_MS = 8_000
const OUTAGE_MS = 6_000

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

async function killHost (deployment: Deployment, host: number): Promise<void> {
  await deployment.hosts[host]!.child.kill()
}

/** Suspends a host process for a time. */
async function freezeHost (deployment: Deployment, host: number, ms: number): Promise<void> {
  deployment.hosts[host]!.child.sendSignal('SIGSTOP')
  await pause(ms)
  deployment.hosts[host]!.child.sendSignal('SIGCONT')
}

/** Blocks the connections from one host to another for a time, or those in both directions. */
async function blockLink (deployment: Deployment, a: number, b: number, isBidirectional: boolean): Promise<void> {
  deployment.blockConnections(a, b)
  if (isBidirectional) deployment.blockConnections(b, a)
  await pause(CUT_MS)
  deployment.unblockConnections(a, b)
  if (isBidirectional) deployment.unblockConnections(b, a)
}

/** Blocks the connections between a host and all others for a time. */
async function isolateHost (deployment: Deployment, host: number): Promise<void> {
  const others = deployment.hosts.map((_, i) => i).filter(i => i !== host)
  for (const other of others) {
    deployment.blockConnections(host, other)
    deployment.blockConnections(other, host)
  }
  await pause(CUT_MS)
  for (const other of others) {
    deployment.unblockConnections(host, other)
    deployment.unblockConnections(other, host)
  }
}

/** Applies faulty settings to the platform stand-in for a time. */
async function injectPlatformFault (deployment: Deployment, faulty: object, normal: object): Promise<void> {
  await deployment.setFaults(deployment.platform!, faulty)
  await pause(OUTAGE_MS)
  await deployment.setFaults(deployment.platform!, normal)
}

const injectTableOutage = async (deployment: Deployment): Promise<void> =>
  await injectPlatformFault(deployment, { down: true }, { down: false })

/** The faults of the fault matrix, by name. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  none: async () => undefined,
  kill: async deployment => await killHost(deployment, 1),
  'kill two': async deployment => {
    await Promise.all([killHost(deployment, 1), killHost(deployment, 3)])
  },
  freeze: async deployment => await freezeHost(deployment, 1, LONG_FREEZE_MS),
  'short freeze': async deployment => await freezeHost(deployment, 2, SHORT_FREEZE_MS),
  cut: async deployment => await blockLink(deployment, 0, 1, true),
  'one-way cut': async deployment => await blockLink(deployment, 0, 1, false),
  isolate: async deployment => await isolateHost(deployment, 2),
  'table outage': injectTableOutage,
  'slow table': async deployment => await injectPlatformFault(deployment, { delayMs: 400 }, { delayMs: 0 }),
  'lost answers': async deployment => await injectPlatformFault(deployment, { loseEvery: 2 }, { loseEvery: 0 }),
  'kill in a table outage': async deployment => {
    await Promise.all([injectTableOutage(deployment), killHost(deployment, 1)])
  },
  'freeze in a table outage': async deployment => {
    await Promise.all([injectTableOutage(deployment), freezeHost(deployment, 1, LONG_FREEZE_MS)])
  },
  'kill and cut': async deployment => {
    await Promise.all([blockLink(deployment, 0, 2, true), killHost(deployment, 1)])
  },
  'engine dies': async deployment => await deployment.killServer(deployment.engines[0]!),
  'engine drops streams': async deployment => {
    await deployment.setFaults(deployment.engines[0]!, { dropEvery: 15, reorder: true, double: true })
  },
  'engine swaps answers': async deployment => {
    await deployment.setFaults(deployment.engines[0]!, { swap: true })
  },
  'worker drops answers': async deployment => {
    await deployment.setFaults(deployment.workers[0]!, { dropAnswers: true })
  },
  'drain each in turn': async deployment => {
    for (const host of deployment.hosts.filter(each => each.child.isRunning)) {
      await deployment.addHost()
      await deployment.waitUntilReady(1)
      host.child.sendSignal('SIGTERM')
      await host.child.waitForExit()
    }
  },
  'drain one': async deployment => {
    deployment.hosts[1]!.child.sendSignal('SIGTERM')
    await deployment.hosts[1]!.child.waitForExit()
  }
}
