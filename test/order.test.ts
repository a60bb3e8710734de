import { readdirSync, readFileSync } from 'node:fs'
import { describe, it } from 'node:test'
import { expect } from 'earl'

/** The modules in dependency order: each imports only from modules listed before it. */
const MODULES = ['base', 'config', 'settings', 'platform', 'journal', 'member', 'record', 'claim', 'admission', 'engine',
  'metrics', 'poison', 'owner', 'service', 'peer', 'entry', 'admin', 'host', 'routing', 'fleet', 'migration', 'schedule',
  'store', 'dispatch', 'forward', 'relay', 'gateway', 'cli']

function importsOf (module: string): string[] {
  const fileNames = readdirSync(`src/${module}`).filter(name => name.endsWith('.ts'))
  return fileNames.flatMap(name => {
    const text = readFileSync(`src/${module}/${name}`, 'utf8')
    return [...text.matchAll(/from '\.\.\/([a-z]+)\/(\w+)\.js'/g)].map(match => `${match[1]!}/${match[2]!}`)
  })
}

describe('the module dependencies', () => {
  it('are listed for every module', () => {
    expect(readdirSync('src').sort()).toEqual([...MODULES].sort())
  })

  for (const [index, module] of MODULES.entries()) {
    it(`${module} imports only modules listed before it, and only through their index`, () => {
      const forbiddenImports = importsOf(module)
        .filter(path => !MODULES.slice(0, index).some(dependency => path === `${dependency}/index`))
      expect(forbiddenImports).toEqual([])
    })
  }
})
