import {createServer, Server, Socket} from 'node:net';
import {ControlClient} from '@apricotlock/control';
import {
  Connectivity,
  IsolationDetector,
  PrimaryPositionTracker,
  VirtualMachineHealth,
  SessionHost,
  StatementRouter,
  WorkDispatcher,
} from '@apricotlock/dispatch';
import {Observable} from '@apricotlock/flow';
import {Gauge} from '@apricotlock/metrics';
import {CallerConnection, MemberConnector} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {Address, VirtualMachine} from '@apricotlock/topology';
import {ControlLeaderClient, RUN_WORK, WorkService} from '@apricotlock/work';
import {BaseParts} from './base_parts.js';
import {HttpAnswer, HttpListener} from './http_listener.js';
import {PROCESS_GAUGES, startMetrics} from './metrics_listener.js';
import {ProgramSettings} from './program_settings.js';
import {RunningProgram} from './run_program.js';
import {SessionMetrics} from './session_metrics.js';

const LISTEN_BACKLOG = 1_024;
const MAXIMUM_PROBE_BYTES = 64 << 10;
/** The balancer sends callers for so long after it was told to stop. */
const BALANCER_MILLISECONDS = 2_300;
/** What is left of the grace for handing over and for ending. */
const END_MILLISECONDS = 700;
const IDLE_CHECK_MILLISECONDS = 100;
/** A VM that is cut off is to know soon. */
const VIEW_FETCH_MILLISECONDS = 350;

/** The protocols that an entry VM speaks on a platform. */
export abstract class EntryPlatform {
  /** Opens connections to members. */
  abstract connector(timer: TimerService): MemberConnector;

  /** Puts a caller's protocol over a connection that was just accepted. */
  abstract linkOver(socket: Socket): CallerConnection;
}

/** The program of an entry VM: callers, and work on members. */
export class EntryProgram implements RunningProgram {
  private draining = false;

  private constructor(
    private readonly base: BaseParts,
    private readonly control: ControlClient,
    private readonly work: WorkService,
    private readonly host: SessionHost,
    private readonly watch: IsolationDetector,
  ) {}

  /** Starts all parts and listens. Throws if an address can't be had. */
  static async start(
    base: BaseParts,
    platform: EntryPlatform,
  ): Promise<EntryProgram> {
    const {self, network, timer, logger, membership, settings} = base;
    const {machines} = membership;
    const entryMachines = entryOnly(machines);
    const control = await ControlClient.start({
      self,
      network,
      timer,
      logger,
      machines,
      log: undefined,
      folder: undefined,
      fetchMilliseconds: VIEW_FETCH_MILLISECONDS,
    });
    const {view} = control;
    const leader = ControlLeaderClient.create({network, machines});
    const connector = platform.connector(timer);
    const shared = {self, view, network, timer, logger};
    const work = WorkService.start({
      ...shared,
      machines: entryMachines,
      connector,
      leader,
    });
    const health = VirtualMachineHealth.create({...shared, machines});
    const gate = WorkDispatcher.create({
      ...shared,
      machines: entryMachines,
      work,
      health,
    });
    const freshness = PrimaryPositionTracker.start({...shared, machines, work});
    const watch = IsolationDetector.start({
      connectivity: () => contactOf(control, freshness),
      timer,
      logger,
    });
    const router = StatementRouter.create({
      ...shared,
      dataCentre: settings.dataCentre,
      dispatcher: gate,
      primaryPositions: freshness,
      isIsolated: () => watch.isIsolated,
    });
    const observer = SessionMetrics.create(timer);
    const host = SessionHost.create({...shared, router, observer});
    const program = new EntryProgram(base, control, work, host, watch);
    timer.every(IDLE_CHECK_MILLISECONDS, () => program.closeIdleIfCutOff());
    await program.listen(observer, platform);
    return program;
  }

  takeSettings({seeds}: ProgramSettings): void {
    this.base.membership.setSeeds(seeds);
  }

  /** Ends without cutting a request, as far as the grace allows. */
  async stop(): Promise<void> {
    const {timer, membership, settings, network, logger} = this.base;
    const startedAt = timer.now();
    this.draining = true;
    membership.announce('draining');
    await timer.sleep(BALANCER_MILLISECONDS);
    const end = settings.graceMilliseconds - END_MILLISECONDS;
    const left = () => Math.max(0, end - (timer.now() - startedAt));
    const cutSessions = await this.host.drain(left());
    const cutWork = await network.untilQuiet(RUN_WORK, left());
    logger.info('drained', {cutSessions, cutWork});
    await membership.leave();
    this.work.stop();
  }

  private async listen(
    metrics: SessionMetrics,
    platform: EntryPlatform,
  ): Promise<void> {
    const {settings, logger} = this.base;
    const {callerAddress, readyAddress} = settings;
    if (callerAddress === undefined || readyAddress === undefined) {
      throw new Error('an entry VM needs addresses for callers and readiness');
    }
    await listenForCallers(callerAddress, socket => {
      void this.host.serve(platform.linkOver(socket));
    });
    await HttpListener.start({
      address: readyAddress,
      maximumBodyBytes: MAXIMUM_PROBE_BYTES,
      logger,
      handler: async () => this.answerProbe(),
    });
    metrics.show(this.gauges());
    await startMetrics(this.base, () => metrics.render());
  }

  private gauges(): readonly Gauge[] {
    return [
      ...PROCESS_GAUGES,
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
    ];
  }

  /** Whether callers may be sent here: what is decided is known here. */
  private get ready(): boolean {
    const {view, viewAgeMilliseconds} = this.control;
    const known = view.current.catalogue.version > 0;
    const confirmed = viewAgeMilliseconds < Infinity;
    return known && confirmed && !this.watch.isIsolated && !this.draining;
  }

  /** What the balancer is told. */
  private answerProbe(): HttpAnswer {
    const {ready} = this;
    this.watch.recordProbe(ready);
    return {status: ready ? 200 : 503, body: JSON.stringify({ready})};
  }

  private closeIdleIfCutOff(): void {
    const before = this.watch.closeIdleBefore;
    if (before === undefined) return;
    const closed = this.host.closeIdle(before);
    if (closed > 0) this.base.logger.info('closed idle sessions', {closed});
  }
}

/** How this VM stands to the rest; `undefined` before its first view. */
function contactOf(
  {viewAgeMilliseconds}: ControlClient,
  {primaryContactAgeMilliseconds}: PrimaryPositionTracker,
): Connectivity | undefined {
  if (viewAgeMilliseconds === Infinity) return undefined;
  return {viewAgeMilliseconds, primaryContactAgeMilliseconds};
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

/** The VMs that serve callers, and so work on members. */
function entryOnly(
  machines: Observable<readonly VirtualMachine[]>,
): Observable<readonly VirtualMachine[]> {
  const choose = (all: readonly VirtualMachine[]) =>
    all.filter(({controlVoter}) => !controlVoter);
  const chosen = Observable.of(choose(machines.current));
  machines.subscribe(current => chosen.set(choose(current)));
  return chosen;
}
