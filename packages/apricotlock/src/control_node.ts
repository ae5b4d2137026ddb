import {randomInt, randomUUID} from 'node:crypto';
import {join} from 'node:path';
import {
  describeStorageError,
  DiskFolder,
  RandomSource,
  ReplicatedControlLog,
  StorageError,
  StorageFolder,
} from '@apricotlock/control';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {Settings} from './settings.js';

const LOG_FOLDER = 'control';
const SEED_LIMIT = 2 ** 32;
const EXIT_DISK_FAILED = 1;

/** What the log needs of the process. */
export interface ControlNodeOptions {
  readonly settings: Settings;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly machines: Observable<readonly VirtualMachine[]>;
}

/**
 * Starts the log on a VM that may vote. Throws, with the file's name, if what
 * is on the disk cannot be trusted.
 */
export async function startControlLog(
  options: ControlNodeOptions,
): Promise<ReplicatedControlLog | undefined> {
  const {settings, logger} = options;
  const {controlVoter, dataFolder, name: self, dataCentre} = settings;
  if (!controlVoter || dataFolder === undefined) return undefined;
  const started = await ReplicatedControlLog.start({
    ...options,
    self,
    dataCentre,
    initialVoters: settings.initialVoters,
    folder: await DiskFolder.open(join(dataFolder, LOG_FOLDER)),
    newDiskId: randomUUID,
    random: RandomSource.of(randomInt(SEED_LIMIT)),
    failed: error => endProcess(logger, error),
    timings: {replaceMilliseconds: settings.replaceVoterMilliseconds},
  });
  return started.caseOf({
    Left: error => {
      throw new Error(describeStorageError(error));
    },
    Right: log => log,
  });
}

/** The folder for what must survive, if the VM has one. */
export async function openDataFolder({
  dataFolder,
}: Settings): Promise<StorageFolder | undefined> {
  return dataFolder === undefined ? undefined : DiskFolder.open(dataFolder);
}

/** Without a disk it can rely on, a voter must not answer any more. */
function endProcess(logger: Logger, error: StorageError): void {
  logger.error('the disk failed', {failure: describeStorageError(error)});
  process.exit(EXIT_DISK_FAILED);
}
