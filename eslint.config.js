import tseslint from 'typescript-eslint';
import eslint from '@eslint/js';

// The Google TypeScript Style Guide, as far as a linter can check it; prettier
// checks the formatting. docs/STYLE.md says which rules take precedence.
export default tseslint.config(
  {
    ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'],
  },
  eslint.configs.recommended,
  ...tseslint.configs.recommended,
  ...tseslint.configs.stylistic,
  {
    rules: {
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'no-var': 'error',
      'prefer-const': 'error',
      curly: ['error', 'multi-line'],
      'no-restricted-exports': [
        'error',
        {restrictDefaultExports: {direct: true}},
      ],
      'no-constant-condition': ['error', {checkLoops: false}],
      'max-lines-per-function': [
        'error',
        {max: 60, skipBlankLines: true, skipComments: true},
      ],
      'max-lines': [
        'error',
        {max: 400, skipBlankLines: true, skipComments: true},
      ],
      '@typescript-eslint/no-empty-function': [
        'error',
        {allow: ['private-constructors']},
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/array-type': ['error', {default: 'array-simple'}],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
        {selector: 'class', format: ['PascalCase']},
      ],
    },
  },
  {
    files: ['**/test/**'],
    rules: {
      'max-lines-per-function': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
    },
  },
  {
    files: ['deploy/**'],
    languageOptions: {
      globals: {
        __dirname: 'readonly',
        __filename: 'readonly',
        exports: 'readonly',
        module: 'readonly',
        process: 'readonly',
        require: 'readonly',
      },
    },
    rules: {'@typescript-eslint/no-require-imports': 'off'},
  },
  {files: ['eslint.config.js'], rules: {'no-restricted-exports': 'off'}},
);
