import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RetrySlack } from '../src/gateway/retryslack.js'

const WINDOW_MS = 10_000

describe('the share of the retry slack', () => {
  // Guards against repeats beyond the retry budget: an earlier process of the host has used its share already.
  it('is 0 until the process has run for a window, and while the members are not known', () => {
    const slack = new RetrySlack(WINDOW_MS, 5_000)
    expect(slack.update(4, 5_000)).toEqual(0)
    expect(slack.update(4, 14_999)).toEqual(0)
    expect(slack.update(4, 15_000)).toEqual(1 / 4)
    expect(slack.update(undefined, 15_100)).toEqual(0)
  })

  // Guards against repeats beyond the retry budget: hosts that stop leave the members at once, but send for seconds.
  it('does not grow until a window after members left, and falls as soon as members join', () => {
    const slack = new RetrySlack(WINDOW_MS, 0)
    for (let now = 0; now <= 20_000; now += 500) slack.update(6, now)
    for (let now = 20_500; now <= 30_000; now += 500) expect(slack.update(2, now)).toEqual(1 / 6)
    expect(slack.update(2, 30_500)).toEqual(1 / 2)
    expect(slack.update(3, 30_600)).toEqual(1 / 3)
  })
})
