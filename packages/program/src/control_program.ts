import {randomInt, randomUUID} from 'node:crypto';
import {join} from 'node:path';
import {
  PrimarySupervisor,
  LeaseGrantor,
  MemberAdminClient,
  PromotionClient,
} from '@apricotlock/appointment';
import {
  ControlClient,
  describeStorageError,
  DiskFolder,
  InitialVoter,
  RandomSource,
  ReplicatedControlLog,
} from '@apricotlock/control';
import {Gauge, gaugeLines} from '@apricotlock/metrics';
import {MemberConnector} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {Address, formatAddress} from '@apricotlock/topology';
import {BaseParts} from './base_parts.js';
import {HttpHandler, HttpListener} from './http_listener.js';
import {PROCESS_GAUGES, startMetrics} from './metrics_listener.js';
import {ProgramSettings} from './program_settings.js';
import {RunningProgram} from './run_program.js';

const MAXIMUM_DOCUMENT_BYTES = 8 << 20;
const LOG_FOLDER = 'control';
const SEED_LIMIT = 2 ** 32;
/** As many as the platform names as seeds. */
const WANTED_VOTERS = 3;
/** A voter that is silent for so long is replaced, if another VM can be. */
const REPLACE_VOTER_MILLISECONDS = 2_500;
/** Leases of primaries have to outlast an election. */
const ELECTION_MINIMUM_MILLISECONDS = 250;
const ELECTION_MAXIMUM_MILLISECONDS = 450;
const CALLS_END_MILLISECONDS = 300;
const VIEW_FETCH_MILLISECONDS = 350;
const EXIT_DISK_FAILED = 1;

/** The protocols that a control VM speaks on a platform. */
export abstract class ControlPlatform {
  /** Opens connections to members. */
  abstract connector(timer: TimerService): MemberConnector;

  /** Orders promotions at an address. */
  abstract promotions(address: Address): PromotionClient;

  /** Answers the calls of members and operators. */
  abstract api(control: ControlClient, base: BaseParts): HttpHandler;
}

/** The program of a control VM: the log, the operators' API, appointments. */
export class ControlProgram implements RunningProgram {
  private constructor(
    private readonly base: BaseParts,
    private readonly log: ReplicatedControlLog,
  ) {}

  /** Starts all parts and listens. Throws without a disk or an address. */
  static async start(
    base: BaseParts,
    platform: ControlPlatform,
  ): Promise<ControlProgram> {
    const {self, network, timer, logger, membership, settings} = base;
    const {machines} = membership;
    const log = await startLog(base);
    const control = await ControlClient.start({
      self,
      network,
      timer,
      logger,
      machines,
      log,
      folder: undefined,
      fetchMilliseconds: VIEW_FETCH_MILLISECONDS,
    });
    startAppointing(base, platform, log);
    if (settings.controlAddress === undefined) {
      throw new Error(
        'a control VM needs an address for members and operators',
      );
    }
    await HttpListener.start({
      address: settings.controlAddress,
      maximumBodyBytes: MAXIMUM_DOCUMENT_BYTES,
      handler: platform.api(control, base),
      logger,
    });
    const gauges = gaugesOf(log);
    await startMetrics(base, () => pageOf(gauges));
    return new ControlProgram(base, log);
  }

  takeSettings({seeds}: ProgramSettings): void {
    this.base.membership.setSeeds(seeds);
  }

  /** Hands leadership over and ends. */
  async stop(): Promise<void> {
    const {membership, timer} = this.base;
    membership.announce('draining');
    await this.log.stop();
    await timer.sleep(CALLS_END_MILLISECONDS);
    await membership.leave();
  }
}

async function startLog(base: BaseParts): Promise<ReplicatedControlLog> {
  const {self, network, timer, logger, membership, settings} = base;
  const {dataFolder, dataCentre} = settings;
  if (dataFolder === undefined) throw new Error('a control VM needs a disk');
  const started = await ReplicatedControlLog.start({
    self,
    dataCentre,
    initialVoters: initialVoters(settings),
    targetVoterCount: WANTED_VOTERS,
    folder: await DiskFolder.open(join(dataFolder, LOG_FOLDER)),
    newDiskId: randomUUID,
    network,
    machines: membership.machines,
    timer,
    random: RandomSource.of(randomInt(SEED_LIMIT)),
    logger,
    failed: error => {
      logger.error('the disk failed', {failure: describeStorageError(error)});
      process.exit(EXIT_DISK_FAILED);
    },
    timings: {
      replaceMilliseconds: REPLACE_VOTER_MILLISECONDS,
      electionMinimumMilliseconds: ELECTION_MINIMUM_MILLISECONDS,
      electionMaximumMilliseconds: ELECTION_MAXIMUM_MILLISECONDS,
    },
  });
  return started.caseOf({
    Left: error => {
      throw new Error(describeStorageError(error));
    },
    Right: log => log,
  });
}

/** Only the first start of the whole system names the first voters. */
function initialVoters({
  firstStart,
  seeds,
}: ProgramSettings): readonly InitialVoter[] {
  if (!firstStart) return [];
  return seeds.map(address => ({name: formatAddress(address), address}));
}

function startAppointing(
  base: BaseParts,
  platform: ControlPlatform,
  log: ReplicatedControlLog,
): void {
  const {self, network, timer, logger, membership, settings} = base;
  const {promotionAddress, node} = settings;
  if (promotionAddress === undefined) {
    logger.warn('nobody takes promotions: lost primaries stay lost');
    return;
  }
  const {machines} = membership;
  const connector = platform.connector(timer);
  PrimarySupervisor.start({
    self,
    publicName: node,
    log,
    network,
    memberAdmin: MemberAdminClient.create(connector, timer),
    promotions: platform.promotions(promotionAddress),
    grantor: LeaseGrantor.start({log, network, timer}),
    machines,
    entryMachines: () =>
      machines.current.filter(({controlVoter}) => !controlVoter),
    timer,
    logger,
  });
}

function gaugesOf(log: ReplicatedControlLog): readonly Gauge[] {
  return [
    ...PROCESS_GAUGES,
    {
      name: 'apricotlock_control_leading',
      help: '1 on the VM that leads control',
      read: () => (log.leading.current ? 1 : 0),
    },
    {
      name: 'apricotlock_view_index',
      help: 'The newest control entry in force here',
      read: () => log.state.current.view.index,
    },
  ];
}

function pageOf(gauges: readonly Gauge[]): string {
  return [...gauges.flatMap(gaugeLines), ''].join('\n');
}
