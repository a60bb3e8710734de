import { readdirSync, readFileSync } from 'node:fs'
import { describe, it } from 'node:test'
import { expect } from 'earl'

/** The modules in the order of dependence: each imports only from those before it. */
const ORDER = ['base', 'config', 'settings', 'platform', 'journal', 'member', 'record', 'claim', 'admission', 'engine',
  'metrics', 'poison', 'owner', 'service', 'peer', 'entry', 'admin', 'host', 'routing', 'fleet', 'migration', 'schedule',
  'store', 'dispatch', 'forward', 'gateway', 'cli']

function importsOf (module: string): string[] {
  const files = readdirSync(`src/${module}`).filter(name => name.endsWith('.ts'))
  return files.flatMap(name => {
    const text = readFileSync(`src/${module}/${name}`, 'utf8')
    return [...text.matchAll(/from '\.\.\/([a-z]+)\/(\w+)\.js'/g)].map(match => `${match[1]!}/${match[2]!}`)
  })
}

describe('the modules', () => {
  it('are all in the order', () => {
    expect(readdirSync('src').sort()).toEqual([...ORDER].sort())
  })

  for (const [at, module] of ORDER.entries()) {
    it(`${module} imports only what stands before it, by its index`, () => {
      const wrong = importsOf(module).filter(path => !ORDER.slice(0, at).some(before => path === `${before}/index`))
      expect(wrong).toEqual([])
    })
  }
})
