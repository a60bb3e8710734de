import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'src/**/*_pb.ts'] }),
  {
    rules: {
      'max-len': ['error', { code: 120, ignoreStrings: true, ignoreTemplateLiterals: true }],
      'max-lines': ['error', { max: 250 }],
      'max-lines-per-function': ['error', { max: 60 }],
      'no-void': ['error', { allowAsStatement: true }],
      complexity: ['error', 14]
    }
  },
  // A constant object and the type of its values share a name; the compiler reports real redeclarations.
  { files: ['**/*.ts'], rules: { '@typescript-eslint/no-redeclare': 'off' } },
  { files: ['test/**'], rules: { 'max-lines-per-function': 'off' } }
]
