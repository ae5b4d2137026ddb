import {expect} from 'chai';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const TEST_TIMEOUT_MILLISECONDS = 20_000;
const PROGRAM = fileURLToPath(
  new URL('./support/slow_program.js', import.meta.url),
);

/** The signals that a test sends when a step begins. */
type Plan = Readonly<Record<string, readonly NodeJS.Signals[]>>;

/** Runs the process; returns its steps and how it ended. */
async function runWithSignals(plan: Plan) {
  const child = spawn(process.execPath, [PROGRAM], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const ended = once(child, 'close');
  const steps: string[] = [];
  createInterface({input: child.stdout}).on('line', line => {
    if (!line.startsWith('step ')) return;
    const step = line.slice('step '.length);
    steps.push(step);
    for (const signal of plan[step] ?? []) child.kill(signal);
  });
  const [code, signal] = (await ended) as [
    number | null,
    NodeJS.Signals | null,
  ];
  return {steps, code, signal};
}

describe('runProgram', function () {
  this.timeout(TEST_TIMEOUT_MILLISECONDS);
  const stopped = {code: 0, signal: null};

  // Guards against callers that are cut as the start has not completed.
  it('stops in order after SIGTERM during the start', async () => {
    expect(await runWithSignals({start: ['SIGTERM']})).to.deep.equal({
      steps: ['start', 'run', 'stop', 'end'],
      ...stopped,
    });
  });

  // Guards against a reload during the start that ends the process.
  it('reloads the settings after SIGHUP during the start', async () => {
    const plan: Plan = {start: ['SIGHUP'], reload: ['SIGTERM']};
    expect(await runWithSignals(plan)).to.deep.equal({
      steps: ['start', 'run', 'reload', 'stop', 'end'],
      ...stopped,
    });
  });

  // Guards against a stop that further signals shorten or disturb.
  it('completes a stop whatever signals come during it', async () => {
    const plan: Plan = {
      run: ['SIGTERM'],
      stop: ['SIGTERM', 'SIGHUP', 'SIGINT'],
    };
    expect(await runWithSignals(plan)).to.deep.equal({
      steps: ['start', 'run', 'stop', 'end'],
      ...stopped,
    });
  });
});
