import type { StoreObserver } from '../src/store/index.js'

/** @returns an observer of a follower that ignores everything, except for the given methods */
export function storeObserver (overrides: Partial<StoreObserver> = {}): StoreObserver {
  const ignore = (): void => undefined
  return { storeRecovered: ignore, storeClockRead: ignore, eraChanged: ignore, tableListed: ignore, ...overrides }
}
