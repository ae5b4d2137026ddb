// Bundles each program of the platform into one file under target/.
import {build} from 'esbuild';

for (const role of ['entry', 'control']) {
  await build({
    entryPoints: [`platform/dist/src/${role}_main.js`],
    outfile: `target/${role}.cjs`,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    // Only commands for people need it: it is not to cost running processes.
    external: ['yargs'],
    legalComments: 'none',
    logLevel: 'warning',
  });
}
