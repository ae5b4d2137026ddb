import {createServer, Server, Socket} from 'node:net';
import {ControlClient} from '@apricotlock/control';
import {
  Connectivity,
  ContactAges,
  IsolationDetector,
  PeerContact,
  PeerContactOptions,
  PrimaryPositionTracker,
  VirtualMachineHealth,
  SessionHost,
  StatementRouter,
  ViewFreshness,
  WorkDispatcher,
} from '@apricotlock/dispatch';
import {Observable} from '@apricotlock/flow';
import {Gauge} from '@apricotlock/metrics';
import {CallerConnection, MemberConnector} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {
  Address,
  isStoredCatalogue,
  VirtualMachine,
} from '@apricotlock/topology';
import {ControlLeaderClient, RUN_WORK, WorkService} from '@apricotlock/work';
import {startEntryQuota} from './entry_quota.js';
import {ProgramContext} from './program_context.js';
import {HttpResponse, HttpListener} from './http_listener.js';
import {startMetricsListener, startProcessGauges} from './metrics_listener.js';
import {ProgramSettings} from './program_settings.js';
import {RunningProgram} from './run_program.js';
import {SessionMetrics} from './session_metrics.js';
import {scheduleStop} from './stop_schedule.js';

const LISTEN_BACKLOG = 1_024;
const MILLISECONDS_PER_SECOND = 1_000;
const MAXIMUM_PROBE_BODY_BYTES = 64 << 10;
const IDLE_CHECK_INTERVAL_MILLISECONDS = 100;
/** Short, so that an isolated VM soon detects that its view is outdated. */
const VIEW_FETCH_INTERVAL_MILLISECONDS = 300;
/**
 * A view that was confirmed within this time needs no fetch. It leaves time for
 * an answer before the view counts as outdated, which is at 900 ms.
 */
const CURRENT_VIEW_MILLISECONDS = 600;

/** The protocols of the platform on which an entry VM runs. */
export abstract class EntryPlatform {
  /** Creates the connector that opens connections to members. */
  abstract createMemberConnector(timer: TimerService): MemberConnector;

  /** Creates the connection of a caller on a newly accepted socket. */
  abstract createCallerConnection(socket: Socket): CallerConnection;
}

/**
 * The program of an entry VM. It serves the sessions of callers and runs their
 * statements on members.
 */
export class EntryProgram implements RunningProgram {
  private draining = false;
  private callerServer: Server | undefined;

  private constructor(
    private readonly context: ProgramContext,
    private readonly control: ControlClient,
    private readonly work: WorkService,
    private readonly host: SessionHost,
    private readonly isolationDetector: IsolationDetector,
  ) {}

  /**
   * Starts the program and listens for callers. Throws if the settings lack the
   * address for callers or for readiness probes, or if an address cannot be
   * bound.
   */
  static async start(
    context: ProgramContext,
    platform: EntryPlatform,
  ): Promise<EntryProgram> {
    const {self, network, timer, logger, membership, settings} = context;
    const {machines} = membership;
    const entryMachines = selectEntryMachines(machines);
    const control = await startControlClient(context);
    const {view} = control;
    const shared = {self, view, network, timer, logger};
    const entryShared = {...shared, machines: entryMachines};
    const observer = SessionMetrics.create(timer);
    const work = WorkService.start({
      ...entryShared,
      connector: platform.createMemberConnector(timer),
      leader: ControlLeaderClient.create({network, machines}),
      observer,
      onDrainingWork: role => observer.onDrainingWork(role),
    });
    const health = VirtualMachineHealth.create({...shared, machines});
    const dispatcher = WorkDispatcher.create({...entryShared, work, health});
    const positions = PrimaryPositionTracker.start({
      ...shared,
      machines,
      work,
      seeksContact: () => detector.isIsolated,
    });
    const detector: IsolationDetector = startIsolationDetector(
      entryShared,
      control,
      positions,
    );
    const router = StatementRouter.create({
      ...shared,
      dataCentre: settings.dataCentre,
      dispatcher,
      primaryPositions: positions,
      isIsolated: () => detector.isIsolated,
      observer,
    });
    const host = SessionHost.create({
      ...shared,
      router,
      observer,
      freshness: readFreshness(control),
      quota: startEntryQuota(entryShared, control, observer),
    });
    const program = new EntryProgram(context, control, work, host, detector);
    timer.every(IDLE_CHECK_INTERVAL_MILLISECONDS, () =>
      program.closeIdleIfIsolated(),
    );
    await program.listen(observer, platform);
    return program;
  }

  applySettings({seeds}: ProgramSettings): void {
    this.context.membership.setSeeds(seeds);
  }

  /**
   * Drains this VM and ends its services: announces it as draining, waits for
   * the balancer to stop sending callers, stops accepting them, and lets
   * sessions and the work of other VMs end. Each step first closes what could
   * begin, then waits for what is in progress, so that nothing is in progress
   * when the process ends, unless it exceeds the grace period.
   */
  async stop(): Promise<void> {
    const {timer, membership, settings, network, logger} = this.context;
    const schedule = scheduleStop(timer.now(), settings.graceMilliseconds);
    const remainingUntil = (time: number) => Math.max(0, time - timer.now());
    this.draining = true;
    membership.announce('draining');
    this.work.limitNewWork(schedule.endsAt);
    await timer.sleep(remainingUntil(schedule.acceptsCallersUntil));
    // The balancer falls back to VMs that aren't ready where too few are, so
    // that callers may come until the listener is closed.
    this.callerServer?.close();
    const interruptedSessions = await this.host.drain(schedule);
    await this.work.waitUntilHandedOver(remainingUntil(schedule.endsAt));
    this.work.refuseNewWork();
    const interruptedWork = await network.waitUntilIdle(
      RUN_WORK,
      remainingUntil(schedule.endsAt),
    );
    logger.info('drained', {
      interruptedSessions,
      interruptedWork,
      ...this.host.countActivities(),
    });
    this.work.stop();
    await membership.leave();
    logger.info('exiting', {
      ...this.host.countActivities(),
      work: network.countConversations(RUN_WORK),
    });
  }

  private async listen(
    metrics: SessionMetrics,
    platform: EntryPlatform,
  ): Promise<void> {
    const {settings, logger} = this.context;
    const {callerAddress, readyAddress} = settings;
    if (callerAddress === undefined || readyAddress === undefined) {
      throw new Error(
        'settings of an entry VM lack the address for callers or readiness',
      );
    }
    this.callerServer = await listenForCallers(callerAddress, socket => {
      void this.host.serve(platform.createCallerConnection(socket));
    });
    await HttpListener.start({
      address: readyAddress,
      maximumBodyBytes: MAXIMUM_PROBE_BODY_BYTES,
      logger,
      handler: async () => this.answerProbe(),
    });
    metrics.addGauges(this.gauges());
    await startMetricsListener(this.context, () => metrics.render());
  }

  private gauges(): readonly Gauge[] {
    return [
      ...startProcessGauges(this.context.timer),
      {
        name: 'apricotlock_caller_sessions',
        help: 'Callers that are connected',
        read: () => this.host.count,
      },
      {
        name: 'apricotlock_view_index',
        help: 'The newest control entry in force here',
        read: () => this.control.view.current.index,
      },
      {
        name: 'apricotlock_view_age_seconds',
        help: 'How long ago the view was known to be the newest one',
        read: () => this.control.viewAgeMilliseconds / MILLISECONDS_PER_SECOND,
      },
    ];
  }

  /**
   * Whether the balancer may send callers here: this VM has a catalogue and a
   * view confirmed by control, and is neither isolated nor draining.
   */
  private get ready(): boolean {
    const {view, viewAgeMilliseconds} = this.control;
    const hasCatalogue = isStoredCatalogue(view.current.catalogue);
    const isViewConfirmed = viewAgeMilliseconds < Infinity;
    return (
      hasCatalogue &&
      isViewConfirmed &&
      !this.isolationDetector.isIsolated &&
      !this.draining
    );
  }

  /** Answers a readiness probe of the balancer. */
  private answerProbe(): HttpResponse {
    const {ready} = this;
    this.isolationDetector.recordProbe(ready);
    return {status: ready ? 200 : 503, body: JSON.stringify({ready})};
  }

  private closeIdleIfIsolated(): void {
    const before = this.isolationDetector.closeIdleBefore;
    if (before === undefined) return;
    const closed = this.host.closeIdle(before);
    if (closed > 0) this.context.logger.info('closed idle sessions', {closed});
  }
}

/** Starts to detect whether this VM is isolated. */
function startIsolationDetector(
  shared: Omit<PeerContactOptions, 'ages'>,
  control: ControlClient,
  positions: PrimaryPositionTracker,
): IsolationDetector {
  const ages = () => readContactAges(control, positions);
  const peerContact = PeerContact.start({...shared, ages});
  return IsolationDetector.start({
    ...shared,
    connectivity: () => readConnectivity(ages(), peerContact),
  });
}

/** Starts the client of control, without a log of its own. */
function startControlClient({
  self,
  network,
  timer,
  logger,
  membership,
}: ProgramContext): Promise<ControlClient> {
  return ControlClient.start({
    self,
    network,
    timer,
    logger,
    machines: membership.machines,
    log: undefined,
    folder: undefined,
    fetchMilliseconds: VIEW_FETCH_INTERVAL_MILLISECONDS,
    currentMilliseconds: CURRENT_VIEW_MILLISECONDS,
  });
}

/** Returns what the sessions of this VM need to know of the age of its view. */
function readFreshness(control: ControlClient): ViewFreshness {
  return {
    get ageMilliseconds() {
      return control.viewAgeMilliseconds;
    },
    refresh: milliseconds => control.refreshView(milliseconds),
  };
}

function readContactAges(
  {viewAgeMilliseconds}: ControlClient,
  {primaryContactAgeMilliseconds}: PrimaryPositionTracker,
): ContactAges {
  return {viewAgeMilliseconds, primaryContactAgeMilliseconds};
}

/** Returns this VM's connectivity; `undefined` before its first view. */
function readConnectivity(
  ages: ContactAges,
  {hasLostPeer}: PeerContact,
): Connectivity | undefined {
  if (ages.viewAgeMilliseconds === Infinity) return undefined;
  return {...ages, hasLostPeer};
}

async function listenForCallers(
  address: Address,
  accept: (socket: Socket) => void,
): Promise<Server> {
  const server = createServer({noDelay: true}, accept);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({...address, backlog: LISTEN_BACKLOG}, resolve);
  });
  return server;
}

/** Tracks the entry VMs, which are all VMs that are not control voters. */
function selectEntryMachines(
  machines: Observable<readonly VirtualMachine[]>,
): Observable<readonly VirtualMachine[]> {
  const select = (all: readonly VirtualMachine[]) =>
    all.filter(({controlVoter}) => !controlVoter);
  const selected = Observable.of(select(machines.current));
  machines.subscribe(current => selected.set(select(current)));
  return selected;
}
