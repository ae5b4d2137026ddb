import {
  LEASE_CONNECTION,
  OwnerLeaseClient,
  OwnerRegistry,
} from '@apricotlock/backend';
import {ControlClient, ReplicatedControlLog} from '@apricotlock/control';
import {
  FailoverCoordinator,
  FailureReporter,
  ReplicaReconciler,
} from '@apricotlock/failover';
import {Logger} from '@apricotlock/logging';
import {HttpMemberClient, MemberClient} from '@apricotlock/member';
import {
  DatagramTransport,
  Membership,
  SwimMembership,
  UdpDatagramTransport,
} from '@apricotlock/membership';
import {OperatorServer} from '@apricotlock/operator';
import {WebSocketPeerNetwork} from '@apricotlock/peer';
import {
  CallerListener,
  CancelRouter,
  Router,
  SessionObserver,
} from '@apricotlock/proxy';
import {SystemTimerService, TimerService} from '@apricotlock/timer';
import {openDataFolder, startControlLog} from './control_node.js';
import {EntryOperatorBackend} from './entry_operator_backend.js';
import {Gauge} from '@apricotlock/metrics';
import {Metrics} from './metrics.js';
import {Settings} from './settings.js';

const MAXIMUM_PEER_MESSAGE_BYTES = 64 << 20;
const CREDENTIAL_CHECK_MILLISECONDS = 2_000;

/** What every part is given. */
interface Base {
  readonly settings: Settings;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly network: WebSocketPeerNetwork;
  readonly datagrams: DatagramTransport;
}

/** The parts that know who is alive, what is decided and who owns what. */
interface Deciding {
  readonly membership: Membership;
  readonly log: ReplicatedControlLog | undefined;
  readonly control: ControlClient;
  readonly registry: OwnerRegistry;
}

interface Parts extends Base, Deciding {
  readonly callers: CallerListener;
  readonly operators: OperatorServer;
  readonly backend: EntryOperatorBackend;
}

/** One process of the system, with all its parts. */
export class EntryProcess {
  private constructor(private readonly parts: Parts) {}

  /** Starts every part. Throws if an address can't be had. */
  static async start(
    settings: Settings,
    logger: Logger,
    requestShutdown: () => void,
  ): Promise<EntryProcess> {
    const timer = SystemTimerService.create();
    const {credentials} = settings;
    const network = await WebSocketPeerNetwork.start({
      listen: settings.peerAddress,
      key: credentials.peerKeys,
      tls: credentials.peerTls,
      timer,
      logger,
      maximumMessageBytes: MAXIMUM_PEER_MESSAGE_BYTES,
    });
    const datagrams = await UdpDatagramTransport.start(settings.peerAddress);
    const base: Base = {settings, timer, logger, network, datagrams};
    const deciding = await startDeciding(base);
    const metrics = Metrics.create(timer);
    const callers = await startCallers(base, deciding, metrics);
    const backend = EntryOperatorBackend.create({
      ...base,
      ...deciding,
      metrics,
      requestShutdown,
    });
    const operators = await OperatorServer.start({
      listen: settings.operatorAddress,
      operatorTokens: credentials.operatorTokens,
      metricsTokens: credentials.metricsTokens,
      memberKeys: credentials.memberKeys,
      tls: credentials.operatorTls,
      timer,
      backend,
    });
    const parts = {...base, ...deciding, callers, operators, backend};
    metrics.show(gaugesOf(parts));
    logger.info('serving', {callers: settings.callerAddress.port});
    const entry = new EntryProcess(parts);
    timer.every(CREDENTIAL_CHECK_MILLISECONDS, () => entry.reloadCredentials());
    return entry;
  }

  /** Reads keys, tokens and certificates anew, if their files have changed. */
  reloadCredentials(): void {
    const {settings, logger} = this.parts;
    settings.credentials.reload().caseOf({
      Left: faults => {
        for (const {flag, message} of faults) {
          logger.error('credentials stay as they were', {flag, message});
        }
      },
      Right: changed => {
        if (changed) logger.info('credentials taken over');
      },
    });
  }

  /** Ends without cutting a request, if the deadline allows; gives the cuts. */
  async drain(): Promise<number> {
    const {settings, timer, logger, backend, membership} = this.parts;
    const {callers, network, registry} = this.parts;
    backend.stopBeingReady();
    // Without another VM to take over, this one serves to the end.
    const alone = !othersServe(membership, settings.name);
    if (!alone) membership.announce('draining');
    await timer.sleep(settings.balancerMilliseconds);
    const deadline = timer.now() + settings.drainMilliseconds;
    const left = () => Math.max(0, deadline - timer.now());
    const cutSessions = await callers.drain(left());
    if (alone) membership.announce('draining');
    // Sessions of other VMs may still have transactions here.
    await registry.waitUntilDrained(left());
    const cutLeases = await network.untilQuiet(LEASE_CONNECTION, left());
    logger.info('drained', {cutSessions, cutLeases});
    await this.stop();
    return cutSessions + cutLeases;
  }

  private async stop(): Promise<void> {
    const {membership, registry, operators, log, network} = this.parts;
    await membership.leave();
    registry.stop();
    await operators.close();
    await log?.stop();
    await network.close();
  }
}

function othersServe(membership: Membership, self: string): boolean {
  return membership.machines.current.some(
    ({name, state}) => name !== self && state === 'serving',
  );
}

function gaugesOf(parts: Parts): readonly Gauge[] {
  const {membership, control, callers, network, timer} = parts;
  const startedAt = timer.now();
  return [
    {
      name: 'apricotlock_caller_sessions',
      help: 'Callers that are connected',
      read: () => callers.sessionCount,
    },
    {
      name: 'apricotlock_live_machines',
      help: 'VMs that this one believes alive, itself among them',
      read: () => membership.machines.current.length,
    },
    {
      name: 'apricotlock_view_index',
      help: 'The place in the log up to which decisions are in force',
      read: () => control.view.current.index,
    },
    {
      name: 'apricotlock_peer_links',
      help: 'Links that this VM has dialled and keeps',
      read: () => network.dialledLinks,
    },
    {
      name: 'apricotlock_resident_memory_bytes',
      help: 'Memory of the process',
      read: () => process.memoryUsage.rss(),
    },
    {
      name: 'apricotlock_uptime_seconds',
      help: 'Since the process began to serve',
      read: () => (timer.now() - startedAt) / 1_000,
    },
  ];
}

async function startDeciding(base: Base): Promise<Deciding> {
  const {settings, timer, logger, network} = base;
  const self = settings.name;
  const membership = joinMembership(base);
  const {machines} = membership;
  const log = await startControlLog({...base, machines});
  const folder = await openDataFolder(settings);
  const parts = {self, network, timer, logger, machines, log, folder};
  const control = await ControlClient.start(parts);
  const client = HttpMemberClient.create(
    () => settings.credentials.memberKeys.current.current,
    timer,
  );
  const registry = OwnerRegistry.start({
    self,
    view: control.view,
    machines,
    network,
    client,
    timer,
    logger,
    memberUser: settings.memberUser,
    get memberPassword() {
      return settings.credentials.memberPassword;
    },
  });
  const deciding = {membership, log, control, registry};
  startFailover(base, deciding, client);
  return deciding;
}

function startCallers(
  base: Base,
  deciding: Deciding,
  observer: SessionObserver,
): Promise<CallerListener> {
  const {settings, timer, logger, network} = base;
  const {membership, control, registry} = deciding;
  const {view} = control;
  const self = settings.name;
  const gate = OwnerLeaseClient.create(
    self,
    view,
    membership.machines,
    network,
    registry,
    timer,
  );
  return CallerListener.start({
    self,
    listen: settings.callerAddress,
    view,
    router: Router.create(settings.dataCentre, view, gate, timer),
    timer,
    logger,
    observer,
    get secureContext() {
      return settings.credentials.callerTls;
    },
    cancelRouter: CancelRouter.start({
      self,
      machines: membership.machines,
      network,
    }),
  });
}

function joinMembership(base: Base): Membership {
  const {settings, datagrams: transport, timer, logger} = base;
  return SwimMembership.start({
    self: {
      name: settings.name,
      incarnation: timer.wallClock(),
      dataCentre: settings.dataCentre,
      peerAddress: settings.peerAddress,
      operatorAddress: settings.operatorAddress,
      controlVoter: settings.controlVoter,
      state: 'serving',
    },
    seeds: settings.seeds,
    transport,
    keys: settings.credentials.peerKeys,
    timer,
    logger,
  });
}

function startFailover(
  base: Base,
  {log, registry, membership}: Deciding,
  client: MemberClient,
): void {
  const {network, timer, logger} = base;
  const coordinator =
    log === undefined
      ? undefined
      : FailoverCoordinator.start({log, client, network, timer, logger});
  FailureReporter.start({
    self: base.settings.name,
    groups: registry.groups,
    machines: membership.machines,
    network,
    timer,
    reportLocally: suspicion => coordinator?.recordSuspicion(suspicion),
  });
  ReplicaReconciler.start(registry.groups, client, timer);
}
