// Runs the bundle of a program with the bytecode that was compiled when it was
// built. Without it, a process on a small VM compiles each function when it is
// first called, which makes its first seconds slow. V8 ignores bytecode of
// another version or other flags and compiles the source instead.
const {readFileSync} = require('node:fs');
const {createRequire} = require('node:module');
const {Script} = require('node:vm');

const bundle = __filename.replace(/\.cjs$/, '.bundle.js');

const script = new Script(readFileSync(bundle, 'utf8'), {
  filename: bundle,
  cachedData: readFileSync(`${bundle}.cache`),
});
const run = script.runInThisContext();
run(exports, createRequire(bundle), module, bundle, __dirname);
