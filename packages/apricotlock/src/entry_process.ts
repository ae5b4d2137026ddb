import {OwnerBackendGate, OwnerRegistry} from '@apricotlock/backend';
import {ControlClient, ReplicatedControlLog} from '@apricotlock/control';
import {
  FailoverCoordinator,
  FailureReporter,
  ReplicaReconciler,
} from '@apricotlock/failover';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {HttpMemberClient, MemberClient} from '@apricotlock/member';
import {
  DatagramTransport,
  Membership,
  SwimMembership,
  UdpDatagramTransport,
} from '@apricotlock/membership';
import {OperatorServer} from '@apricotlock/operator';
import {PeerNetwork, ringOf, WebSocketPeerNetwork} from '@apricotlock/peer';
import {
  CallerListener,
  CancelRouter,
  Router,
  SessionObserver,
} from '@apricotlock/proxy';
import {SystemTimerService, TimerService} from '@apricotlock/timer';
import {openDataFolder, startControlLog} from './control_node.js';
import {EntryOperatorBackend} from './entry_operator_backend.js';
import {Metrics} from './metrics.js';
import {Settings} from './settings.js';

const MAXIMUM_PEER_MESSAGE_BYTES = 64 << 20;

/** What every part is given. */
interface Base {
  readonly settings: Settings;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly network: PeerNetwork;
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
    const network = await WebSocketPeerNetwork.start({
      listen: settings.peerAddress,
      key: settings.peerKey,
      timer,
      logger,
      maximumMessageBytes: MAXIMUM_PEER_MESSAGE_BYTES,
    });
    const datagrams = await UdpDatagramTransport.start(settings.peerAddress);
    const base: Base = {settings, timer, logger, network, datagrams};
    const deciding = await startDeciding(base);
    const metrics = Metrics.create();
    const callers = await startCallers(base, deciding, metrics);
    const operators = await OperatorServer.start({
      listen: settings.operatorAddress,
      operatorToken: settings.operatorToken,
      memberKey: settings.memberKey,
      backend: EntryOperatorBackend.create({
        ...base,
        ...deciding,
        metrics,
        requestShutdown,
      }),
    });
    logger.info('serving', {callers: settings.callerAddress.port});
    return new EntryProcess({...base, ...deciding, callers, operators});
  }

  /** Ends without cutting a request, if the deadline allows; gives the cuts. */
  async drain(): Promise<number> {
    const {membership, callers, registry, operators, network, log} = this.parts;
    const {drainMilliseconds} = this.parts.settings;
    const deadline = this.parts.timer.now() + drainMilliseconds;
    membership.announce('draining');
    const cut = await callers.drain(drainMilliseconds);
    // Sessions of other VMs may still have transactions here.
    await registry.drained(deadline - this.parts.timer.now());
    await membership.leave();
    registry.stop();
    await operators.close();
    await log?.stop();
    await network.close();
    return cut;
  }
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
  const client = HttpMemberClient.create(settings.memberKey, timer);
  const registry = OwnerRegistry.start({
    self,
    view: control.view,
    machines,
    network,
    client,
    timer,
    logger,
    memberUser: settings.memberUser,
    memberPassword: settings.memberPassword,
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
  const gate = OwnerBackendGate.create(
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
    secureContext: undefined,
    cancels: CancelRouter.start({
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
    keys: Observable.of(ringOf(settings.peerKey)),
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
    local: suspicion => coordinator?.suspect(suspicion),
  });
  ReplicaReconciler.start(registry.groups, client, timer);
}
