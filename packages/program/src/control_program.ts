import {randomInt, randomUUID} from 'node:crypto';
import {join} from 'node:path';
import {
  DrainDeadlines,
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
  SHORTEST_ELECTION_MILLISECONDS,
} from '@apricotlock/control';
import {Gauge, renderGauge} from '@apricotlock/metrics';
import {MemberConnector} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {Address, formatAddress} from '@apricotlock/topology';
import {ProgramContext} from './program_context.js';
import {HttpHandler, HttpListener} from './http_listener.js';
import {startMetricsListener, startProcessGauges} from './metrics_listener.js';
import {ProgramSettings} from './program_settings.js';
import {RunningProgram} from './run_program.js';

const MAXIMUM_DOCUMENT_BYTES = 8 << 20;
const LOG_FOLDER = 'control';
const RANDOM_SEED_LIMIT = 2 ** 32;
/**
 * A voter that has not answered for this long is replaced if another control VM
 * is available.
 */
const REPLACE_VOTER_MILLISECONDS = 2_500;
/**
 * Minimum and maximum election timeout. They are short, as primary leases must
 * outlast an election.
 */
const ELECTION_MINIMUM_MILLISECONDS = SHORTEST_ELECTION_MILLISECONDS;
const ELECTION_MAXIMUM_MILLISECONDS = 450;
/**
 * Time for callers to learn with an answer that they have to call another VM,
 * and for the new control leader to become known here.
 */
const LEAVE_DELAY_MILLISECONDS = 300;
/**
 * The part of the grace period that calls may not use: it is reserved for
 * leaving the membership and for ending the process.
 */
const SHUTDOWN_RESERVE_MILLISECONDS = 700;
const VIEW_FETCH_INTERVAL_MILLISECONDS = 300;
/**
 * A view that was confirmed within this time needs no fetch. Heartbeats of the
 * control leader confirm it every 100 ms, with a delay of two heartbeats.
 */
const CURRENT_VIEW_MILLISECONDS = 400;
/** The drain time where the settings name none. */
const DEFAULT_DRAIN_MILLISECONDS = 3_000;

/** The protocols of the platform on which a control VM runs. */
export abstract class ControlPlatform {
  /** Creates the connector that opens connections to members. */
  abstract createMemberConnector(timer: TimerService): MemberConnector;

  /** Creates a client that orders promotions at the given address. */
  abstract createPromotionClient(address: Address): PromotionClient;

  /** Creates the handler of HTTP requests from members and operators. */
  abstract createApiHandler(
    control: ControlClient,
    context: ProgramContext,
  ): HttpHandler;
}

/**
 * The program of a control VM. It runs the control log, the HTTP API for
 * members and operators, and the supervisor that replaces failed primaries.
 */
export class ControlProgram implements RunningProgram {
  private constructor(
    private readonly context: ProgramContext,
    private readonly log: ReplicatedControlLog,
    private readonly listener: HttpListener,
  ) {}

  /**
   * Starts the program and listens for requests. Throws if the settings name no
   * data folder or no control address, if the stored log cannot be used, or if
   * an address cannot be bound.
   */
  static async start(
    context: ProgramContext,
    platform: ControlPlatform,
  ): Promise<ControlProgram> {
    const {self, network, timer, logger, membership, settings} = context;
    const {machines} = membership;
    const log = await startLog(context);
    const control = await ControlClient.start({
      self,
      network,
      timer,
      logger,
      machines,
      log,
      folder: undefined,
      fetchMilliseconds: VIEW_FETCH_INTERVAL_MILLISECONDS,
      currentMilliseconds: CURRENT_VIEW_MILLISECONDS,
    });
    startPrimarySupervisor(context, platform, log);
    if (settings.controlAddress === undefined) {
      throw new Error(
        'settings of a control VM lack the address for members and operators',
      );
    }
    const listener = await HttpListener.start({
      address: settings.controlAddress,
      maximumBodyBytes: MAXIMUM_DOCUMENT_BYTES,
      handler: platform.createApiHandler(control, context),
      logger,
    });
    const gauges = createGauges(log, timer);
    await startMetricsListener(context, () => renderGauges(gauges));
    return new ControlProgram(context, log, listener);
  }

  applySettings({seeds}: ProgramSettings): void {
    this.context.membership.setSeeds(seeds);
  }

  /**
   * Announces that this VM is draining, hands control leadership over if this
   * VM has it, answers the calls that are under way, and leaves the membership.
   * The calls are answered through the new leader, so the handover comes first.
   */
  async stop(): Promise<void> {
    const {membership, timer, settings, logger} = this.context;
    const endsAt =
      timer.now() + settings.graceMilliseconds - SHUTDOWN_RESERVE_MILLISECONDS;
    membership.announce('draining');
    this.listener.announceClose();
    await this.log.stop();
    await timer.sleep(LEAVE_DELAY_MILLISECONDS);
    const refusedCalls = await this.listener.close(timer, endsAt - timer.now());
    logger.info('drained', {refusedCalls});
    await membership.leave();
  }
}

async function startLog(
  context: ProgramContext,
): Promise<ReplicatedControlLog> {
  const {self, network, timer, logger, membership, settings} = context;
  const {dataFolder, dataCentre} = settings;
  if (dataFolder === undefined) throw new Error('settings lack a data folder');
  const started = await ReplicatedControlLog.start({
    self,
    dataCentre,
    initialVoters: initialVoters(settings),
    faultTolerance: settings.faultTolerance,
    folder: await DiskFolder.open(join(dataFolder, LOG_FOLDER)),
    newDiskId: randomUUID,
    network,
    machines: membership.machines,
    timer,
    random: RandomSource.of(randomInt(RANDOM_SEED_LIMIT)),
    logger,
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

/**
 * Returns the voters that create the control log, one for each seed. The list
 * is empty unless the whole system starts for the first time.
 */
function initialVoters({
  firstStart,
  seeds,
}: ProgramSettings): readonly InitialVoter[] {
  if (!firstStart) return [];
  return seeds.map(address => ({name: formatAddress(address), address}));
}

function startPrimarySupervisor(
  context: ProgramContext,
  platform: ControlPlatform,
  log: ReplicatedControlLog,
): void {
  const {self, network, timer, logger, membership, settings} = context;
  const {promotionAddress, node} = settings;
  if (promotionAddress === undefined) {
    logger.warn(
      'no promotion address configured; failed primaries will not be replaced',
    );
    return;
  }
  const {machines} = membership;
  const connector = platform.createMemberConnector(timer);
  const deadlines = DrainDeadlines.start({
    log,
    timer,
    drainMilliseconds: settings.drainMilliseconds ?? DEFAULT_DRAIN_MILLISECONDS,
  });
  PrimarySupervisor.start({
    self,
    publicName: node,
    log,
    network,
    memberAdmin: MemberAdminClient.create(connector, timer),
    promotions: platform.createPromotionClient(promotionAddress),
    deadlines,
    grantor: LeaseGrantor.start({log, network, timer, deadlines}),
    machines,
    graceMilliseconds: settings.graceMilliseconds,
    entryMachines: () =>
      machines.current.filter(({controlVoter}) => !controlVoter),
    timer,
    logger,
  });
}

function createGauges(
  log: ReplicatedControlLog,
  timer: TimerService,
): readonly Gauge[] {
  return [
    ...startProcessGauges(timer),
    {
      name: 'apricotlock_control_leading',
      help: '1 on the VM that leads control',
      read: () => (log.leading.current ? 1 : 0),
    },
    {
      name: 'apricotlock_control_voters',
      help: 'Voters of the control log, as known here',
      read: () => log.voterCount,
    },
    {
      name: 'apricotlock_control_voters_required',
      help: 'Voters that the fault tolerance of the settings requires',
      read: () => log.targetVoterCount,
    },
    {
      name: 'apricotlock_view_index',
      help: 'The newest control entry in force here',
      read: () => log.state.current.view.index,
    },
  ];
}

function renderGauges(gauges: readonly Gauge[]): string {
  return [...gauges.flatMap(renderGauge), ''].join('\n');
}
