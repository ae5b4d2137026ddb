import {randomInt, randomUUID} from 'node:crypto';
import {join} from 'node:path';
import {
  describeStorageError,
  DiskFolder,
  RandomSource,
  ReplicatedControlLog,
  StorageFolder,
} from '@apricotlock/control';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {Settings} from './settings.js';

const LOG_FOLDER = 'control';
const RANDOM_SEED_LIMIT = 2 ** 32;

/** Dependencies of the replicated log. */
export interface ControlNodeOptions {
  readonly settings: Settings;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly machines: Observable<readonly VirtualMachine[]>;
}

/**
 * Starts the replicated log if this VM may vote and has a data folder, and
 * resolves to `undefined` otherwise. Throws an error that names the file if
 * the stored log is damaged or cannot be read.
 */
export async function startControlLog(
  options: ControlNodeOptions,
): Promise<ReplicatedControlLog | undefined> {
  const {settings} = options;
  const {controlVoter, dataFolder, name: self, dataCentre} = settings;
  if (!controlVoter || dataFolder === undefined) return undefined;
  const started = await ReplicatedControlLog.start({
    ...options,
    self,
    dataCentre,
    initialVoters: settings.initialVoters,
    faultTolerance: settings.faultTolerance,
    folder: await DiskFolder.open(join(dataFolder, LOG_FOLDER)),
    newDiskId: randomUUID,
    random: RandomSource.of(randomInt(RANDOM_SEED_LIMIT)),
    timings: {replaceMilliseconds: settings.replaceVoterMilliseconds},
  });
  return started.caseOf({
    Left: error => {
      throw new Error(describeStorageError(error));
    },
    Right: log => log,
  });
}

/** Opens the folder for data that must survive a restart, if one is set. */
export async function openDataFolder({
  dataFolder,
}: Settings): Promise<StorageFolder | undefined> {
  return dataFolder === undefined ? undefined : DiskFolder.open(dataFolder);
}
