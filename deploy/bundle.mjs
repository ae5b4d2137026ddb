// Bundles each program of the platform into one file under target/. A process
// reads and compiles its whole bundle at each start, so the bundles leave out
// code that no program uses, to keep starts fast.
import {build} from 'esbuild';

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
  await build({
    entryPoints: [`platform/dist/src/${role}_main.js`],
    outfile: `target/${role}.cjs`,
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
    legalComments: 'none',
    logLevel: 'warning',
  });
}
