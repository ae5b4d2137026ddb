import {
  GroupWatch,
  OwnerBackendGate,
  OwnerRegistry,
} from '@apricotlock/backend';
import {ControlClient, ControlLog, SoleControlLog} from '@apricotlock/control';
import {
  FailoverCoordinator,
  FailureReporter,
  ReplicaReconciler,
} from '@apricotlock/failover';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {HttpMemberClient} from '@apricotlock/member';
import {GossipMembership, Membership} from '@apricotlock/membership';
import {OperatorServer} from '@apricotlock/operator';
import {PeerNetwork, WebSocketPeerNetwork} from '@apricotlock/peer';
import {CallerListener, Router} from '@apricotlock/proxy';
import {SystemTimerService, TimerService} from '@apricotlock/timer';
import {EntryOperatorBackend} from './entry_operator_backend.js';
import {Metrics} from './metrics.js';
import {Settings} from './settings.js';

const MAXIMUM_PEER_MESSAGE_BYTES = 64 << 20;

interface Parts {
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly control: ControlClient;
  readonly registry: OwnerRegistry;
  readonly callers: CallerListener;
  readonly operators: OperatorServer;
}

/** One process of the system, with all its parts. */
export class EntryProcess {
  private constructor(
    private readonly settings: Settings,
    private readonly parts: Parts,
  ) {}

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
    const membership = joinMembership(settings, network, timer);
    const {machines} = membership;
    const log = settings.controlVoter
      ? SoleControlLog.create(settings.name)
      : undefined;
    const self = settings.name;
    const control = ControlClient.start({self, network, timer, machines, log});
    const {view} = control;
    const client = HttpMemberClient.create(settings.memberKey, timer);
    const registry = OwnerRegistry.start({
      self,
      view,
      machines,
      network,
      client,
      timer,
      logger,
      memberUser: settings.memberUser,
      memberPassword: settings.memberPassword,
    });
    startFailover(settings, registry.groups, {
      network,
      membership,
      client,
      timer,
      logger,
      log,
    });
    const gate = OwnerBackendGate.create(
      self,
      view,
      machines,
      network,
      registry,
    );
    const metrics = Metrics.create();
    const callers = await CallerListener.start({
      self,
      listen: settings.callerAddress,
      view,
      router: Router.create(settings.dataCentre, view, gate, timer),
      timer,
      logger,
      observer: metrics,
      secureContext: undefined,
    });
    const operators = await OperatorServer.start({
      listen: settings.operatorAddress,
      operatorToken: settings.operatorToken,
      memberKey: settings.memberKey,
      backend: EntryOperatorBackend.create({
        settings,
        control,
        log,
        membership,
        network,
        metrics,
        timer,
        requestShutdown,
      }),
    });
    logger.info('serving', {callers: settings.callerAddress.port});
    return new EntryProcess(settings, {
      network,
      membership,
      control,
      registry,
      callers,
      operators,
    });
  }

  /** Ends without cutting a request, if the deadline allows; gives the cuts. */
  async drain(): Promise<number> {
    const {membership, callers, registry, operators, network} = this.parts;
    membership.announce('draining');
    const cut = await callers.drain(this.settings.drainMilliseconds);
    await membership.leave();
    registry.stop();
    await operators.close();
    await network.close();
    return cut;
  }
}

function joinMembership(
  settings: Settings,
  network: PeerNetwork,
  timer: TimerService,
): Membership {
  return GossipMembership.start({
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
    network,
    timer,
  });
}

interface FailoverParts {
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly client: HttpMemberClient;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly log: ControlLog | undefined;
}

function startFailover(
  settings: Settings,
  groups: Observable<readonly GroupWatch[]>,
  parts: FailoverParts,
): void {
  const {network, membership, client, timer, logger, log} = parts;
  const coordinator =
    log === undefined
      ? undefined
      : FailoverCoordinator.start({log, client, network, timer, logger});
  FailureReporter.start({
    self: settings.name,
    groups,
    machines: membership.machines,
    network,
    timer,
    local: suspicion => coordinator?.suspect(suspicion),
  });
  ReplicaReconciler.start(groups, client, timer);
}
