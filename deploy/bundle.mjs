// Bundles each program of the platform into one file under target/, and
// compiles it. A process reads its whole bundle at each start, so the bundles
// leave out code that no program uses, to keep starts fast.
import {execFileSync} from 'node:child_process';
import {copyFileSync, readFileSync} from 'node:fs';
import {build} from 'esbuild';

/** Returns the flags of Node.js with which `system.toml` runs a program. */
function nodeFlagsOf(role) {
  const settings = readFileSync('deploy/system.toml', 'utf8');
  const pattern = new RegExp(`^run = "node (.*) target/${role}\\.cjs"$`, 'm');
  return pattern.exec(settings)[1].split(' ');
}

/** Leaves out all locales of zod but English, the only one that is used. */
const englishMessagesOnly = {
  name: 'english-messages-only',
  setup({onLoad}) {
    onLoad({filter: /zod\/v4\/locales\/index\.js$/}, () => ({
      contents: "export {default as en} from './en.js';",
    }));
  },
};

for (const role of ['entry', 'control']) {
  const bundle = `target/${role}.bundle.js`;
  await build({
    entryPoints: [`platform/dist/src/${role}_main.js`],
    outfile: bundle,
    banner: {
      js: '(function (exports, require, module, __filename, __dirname) {',
    },
    footer: {js: '})'},
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    // Identifiers are not minified, so that stack traces stay readable.
    minifySyntax: true,
    minifyWhitespace: true,
    // Bundles ship without the native addon of msgpackr, so it must not be
    // searched for.
    define: {'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"'},
    plugins: [englishMessagesOnly],
    // Only command-line tools need yargs; services must not pay for loading it.
    external: ['yargs'],
    // A script that is run with stored bytecode can't import modules at run
    // time.
    supported: {'dynamic-import': false},
    legalComments: 'none',
    logLevel: 'warning',
  });
  execFileSync(process.execPath, [
    ...nodeFlagsOf(role),
    'deploy/compile.cjs',
    bundle,
  ]);
  copyFileSync('deploy/launcher.cjs', `target/${role}.cjs`);
}
