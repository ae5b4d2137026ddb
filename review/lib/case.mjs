// What the scripts of all cases share: the deployment, the exit code and the end
// of all processes.
import {dirname} from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {broken} from './checks.mjs';
import {System} from './system.mjs';

const LIMIT_MS = 110_000;
const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;

/** Whether the disruption is to take place. */
export const TROUBLE = process.env.TROUBLE !== '0';

/**
 * Runs a case: `play` gets a system that isn't started yet, and returns what
 * broke each rule. Ends this process with the exit code of the case.
 */
export async function runCase(moduleUrl, options, play) {
  const caseFolder = dirname(fileURLToPath(moduleUrl));
  const system = new System({caseFolder, ...options});
  const end = async (code, text) => {
    system.record('result', {code, text});
    process.stdout.write(`${text}\n`);
    await system.stop();
    process.exit(code);
  };
  const limit = setTimeout(
    () => void end(COULD_NOT_RUN, 'could not run: over the time limit'),
    LIMIT_MS,
  );
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.on(signal, () => void end(COULD_NOT_RUN, `ended by ${signal}`));
  }
  let result;
  try {
    result = await play(system);
  } catch (failure) {
    await end(COULD_NOT_RUN, `could not run: ${failure.stack}`);
  }
  clearLimit(limit);
  for (const [rule, cases] of Object.entries(result)) {
    for (const each of cases) system.record(`broken ${rule}`, {each});
  }
  const rules = broken(result);
  if (rules.length === 0) await end(HELD, 'held');
  await end(BROKEN, `broken: ${rules.join('; ')}`);
}

function clearLimit(limit) {
  limit.unref();
}

/** Adds what clients sent and were answered, and what members ran. */
export function recordWork(system, {statements}, groups) {
  for (const each of statements) {
    const {id, sentAt, answeredAt, end, state, entry, kind, text} = each;
    const times = {sentAt, answeredAt};
    system.record('sent', {id, ...times, entry, kind, text, end, state});
  }
  for (const {runs, commits} of groups) {
    for (const {at, id, member, text, state, values} of runs) {
      system.record('run', {at, id, member, text, state, values});
    }
    for (const {at, id, member, term, number, stale} of commits) {
      system.record('commit', {at, id, member, term, number, stale});
    }
  }
}
