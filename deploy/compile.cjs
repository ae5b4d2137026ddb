// Compiles all functions of a bundle, given as the argument, and stores their
// bytecode beside it. Runs with the flags of the programs, since V8 accepts
// bytecode only under the flags under which it was compiled.
const {readFileSync, writeFileSync} = require('node:fs');
const {setFlagsFromString} = require('node:v8');
const {Script} = require('node:vm');

const [, , bundle] = process.argv;

setFlagsFromString('--no-lazy');
const script = new Script(readFileSync(bundle, 'utf8'), {filename: bundle});
setFlagsFromString('--lazy');
writeFileSync(`${bundle}.cache`, script.createCachedData());
