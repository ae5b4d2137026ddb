// Bundles each program of the platform into one file under target/. What a
// process must read and compile delays each start of it, so the bundles leave
// out what no program uses.
import {build} from 'esbuild';

/** Checks' messages are only ever in English: no other language is loaded. */
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
    // Names stay, so that stack traces can be read.
    minifySyntax: true,
    minifyWhitespace: true,
    // A bundle has no native addon beside it: it is not searched for.
    define: {'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"'},
    plugins: [englishMessagesOnly],
    // Only commands for people need it: it is not to cost running processes.
    external: ['yargs'],
    legalComments: 'none',
    logLevel: 'warning',
  });
}
