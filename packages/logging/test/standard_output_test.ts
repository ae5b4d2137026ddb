import {execFile} from 'node:child_process';
import {promisify} from 'node:util';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';

const INDEX = fileURLToPath(new URL('../src/index.js', import.meta.url));
const WAIT_MILLISECONDS = 400;
/** Less than the time for which lines of other levels wait. */
const CRASH_MILLISECONDS = 30;

/** Runs a module that has the exports of the package in scope. */
async function run(code: string): Promise<readonly string[]> {
  const source = `import {Logger, StandardOutput} from ${JSON.stringify(INDEX)};${code}`;
  const {stdout} = await promisify(execFile)(process.execPath, [
    '--input-type=module',
    '--eval',
    source,
  ]);
  return stdout.trim().split('\n');
}

describe('StandardOutput', () => {
  // Guards against lines that wait for a write that the process does not live
  // to make.
  it('has written all lines when the process exits', async () => {
    const lines = await run(`
      const output = StandardOutput.create();
      process.once('exit', () => output.flush());
      for (let index = 0; index < 50; index++) output.writeLine('line ' + index);
      process.exit(0);`);
    expect(lines).to.have.length(50);
    expect(lines.at(-1)).to.equal('line 49');
  });

  // Guards against lines that stay in memory until the next one.
  it('writes lines while the process runs', async () => {
    const lines = await run(`
      const output = StandardOutput.create();
      output.writeLine('first');
      output.writeLine('second');
      setTimeout(() => process.kill(process.pid, 'SIGKILL'), ${WAIT_MILLISECONDS});`).catch(
      (failure: {stdout: string}) => failure.stdout.trim().split('\n'),
    );
    expect(lines).to.deep.equal(['first', 'second']);
  });

  // Guards against the loss of what preceded a crash, such as one for lack of
  // memory, which runs no exit handler.
  it('writes an error without waiting for other lines', async () => {
    const lines = await run(`
      const logger = Logger.create('json', 3);
      logger.info('first');
      logger.error('second');
      setTimeout(() => process.kill(process.pid, 'SIGKILL'), ${CRASH_MILLISECONDS});`).catch(
      (failure: {stdout: string}) => failure.stdout.trim().split('\n'),
    );
    const messages = lines.map(
      line => (JSON.parse(line || '{}') as {message?: string}).message,
    );
    expect(messages).to.deep.equal(['first', 'second']);
  });

  // Guards against unbounded memory when lines come faster than they are taken.
  it('reports the lines that it dropped', async () => {
    const lines = await run(`
      const output = StandardOutput.create();
      process.once('exit', () => output.flush());
      for (let index = 0; index < 1000; index++) output.writeLine('x'.repeat(1024));
      process.exit(0);`);
    const notices = lines.filter(line => line.includes('lines dropped'));
    expect(notices).to.have.length(1);
    expect(lines.length).to.be.below(1_000);
  });
});
