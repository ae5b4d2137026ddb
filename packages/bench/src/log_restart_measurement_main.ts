import {mkdtempSync, readdirSync, rmSync, statSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  DiskFolder,
  RandomSource,
  ReplicatedControlLog,
} from '@apricotlock/control';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {SystemTimerService} from '@apricotlock/timer';
import {fitLine} from './linear_fit.js';
import {MemoryPeerHub} from './memory_peer_network.js';

const HISTORY_LENGTHS = [100, 300, 1_000, 3_000, 10_000];
const CONCURRENT_CHANGES = 50;
const ADDRESS = {host: '127.0.0.1', port: 1};

/** Cost of a restart of the control log after a number of changes. */
interface RestartCost {
  readonly changes: number;
  /** Time from opening the log until its state is read, without an election. */
  readonly readMilliseconds: number;
  readonly fileBytes: number;
}

const timer = SystemTimerService.create();
const costs: RestartCost[] = [];
for (const changes of HISTORY_LENGTHS) {
  const cost = await measure(changes);
  costs.push(cost);
  process.stdout.write(`${JSON.stringify(cost)}\n`);
}
report('milliseconds', ({readMilliseconds}) => readMilliseconds);
report('bytes', ({fileBytes}) => fileBytes);
process.exit(0);

async function measure(changes: number): Promise<RestartCost> {
  const path = mkdtempSync(join(tmpdir(), 'apricotlock-restart-'));
  try {
    const log = await openLog(path);
    await log.leading.waitUntil(leading => leading);
    for (let done = 0; done < changes; done += CONCURRENT_CHANGES) {
      const batch = Array.from({length: CONCURRENT_CHANGES}, (_, index) =>
        proposeEdit(log, done + index),
      );
      await Promise.all(batch);
    }
    await log.stop();
    const [file] = readdirSync(path);
    const fileBytes = statSync(join(path, file ?? '')).size;
    const startedAt = timer.now();
    const reopened = await openLog(path);
    const readMilliseconds = timer.now() - startedAt;
    await reopened.stop();
    return {changes, readMilliseconds, fileBytes};
  } finally {
    rmSync(path, {recursive: true});
  }
}

function proposeEdit(log: ReplicatedControlLog, version: number) {
  return log.propose({
    kind: 'putCatalogue',
    origin: {changeId: `change-${version}`, actor: 'bench', at: version},
    baseVersion: version,
    entries: [],
  });
}

async function openLog(path: string): Promise<ReplicatedControlLog> {
  const started = await ReplicatedControlLog.start({
    self: 'vm-1',
    dataCentre: 'catania',
    initialVoters: [{name: 'vm-1', address: ADDRESS}],
    folder: await DiskFolder.open(path),
    newDiskId: () => 'disk-1',
    network: MemoryPeerHub.create().join(ADDRESS.port),
    machines: Observable.of([]),
    timer,
    random: RandomSource.of(1),
    logger: Logger.silent(),
  });
  return started.unsafeCoerce();
}

function report(name: string, valueOf: (cost: RestartCost) => number): void {
  const samples = costs.map(cost => ({
    size: cost.changes,
    value: valueOf(cost),
  }));
  const {intercept, slope, slopeError} = fitLine(samples);
  process.stdout.write(
    `${name}: ${intercept.toFixed(1)} + ${slope.toFixed(4)} for each change, ` +
      `slope ± ${slopeError.toPrecision(2)}\n`,
  );
}
