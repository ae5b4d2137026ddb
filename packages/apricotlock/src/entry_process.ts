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
/** The interval at which changed credential files are reloaded. */
const CREDENTIAL_CHECK_INTERVAL_MILLISECONDS = 2_000;

/** The components on which all others depend. */
interface BaseComponents {
  readonly settings: Settings;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly network: WebSocketPeerNetwork;
  readonly datagrams: DatagramTransport;
}

/** The components for cluster membership, control and member ownership. */
interface ControlComponents {
  readonly membership: Membership;
  readonly log: ReplicatedControlLog | undefined;
  readonly control: ControlClient;
  readonly registry: OwnerRegistry;
}

interface EntryComponents extends BaseComponents, ControlComponents {
  readonly callers: CallerListener;
  readonly operators: OperatorServer;
  readonly backend: EntryOperatorBackend;
}

/** The process of one entry VM, with all its components. */
export class EntryProcess {
  private constructor(private readonly components: EntryComponents) {}

  /**
   * Starts every component. Throws if an address cannot be bound or the stored
   * log cannot be used. `requestShutdown` is called when an operator drains the
   * VM.
   */
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
    const base: BaseComponents = {settings, timer, logger, network, datagrams};
    const controlComponents = await startControlComponents(base);
    const metrics = Metrics.create(timer);
    const callers = await startCallerListener(base, controlComponents, metrics);
    const backend = EntryOperatorBackend.create({
      ...base,
      ...controlComponents,
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
    const components = {
      ...base,
      ...controlComponents,
      callers,
      operators,
      backend,
    };
    metrics.addGauges(createGauges(components));
    logger.info('accepting callers', {port: settings.callerAddress.port});
    const entry = new EntryProcess(components);
    timer.every(CREDENTIAL_CHECK_INTERVAL_MILLISECONDS, () =>
      entry.reloadCredentials(),
    );
    return entry;
  }

  /** Reloads keys, tokens and certificates if their files have changed. */
  reloadCredentials(): void {
    const {settings, logger} = this.components;
    settings.credentials.reload().caseOf({
      Left: errors => {
        for (const {flag, message} of errors) {
          logger.error(
            'credentials reload failed; the current credentials remain in force',
            {flag, message},
          );
        }
      },
      Right: changed => {
        if (changed) logger.info('credentials reloaded');
      },
    });
  }

  /**
   * Shuts down the process: fails readiness checks, accepts callers for
   * `balancerMilliseconds` more, waits up to `drainMilliseconds` for open
   * transactions to end and stops every component. Returns the number of
   * sessions and connection leases that were interrupted at the deadline.
   */
  async drain(): Promise<number> {
    const {settings, timer, logger, backend, membership} = this.components;
    const {callers, network, registry} = this.components;
    backend.markNotReady();
    // If no other VM is serving, this one announces that it is draining only
    // after its own sessions have ended, as no VM could take over its members.
    const isOnlyServingMachine = !hasOtherServingMachine(
      membership,
      settings.name,
    );
    if (!isOnlyServingMachine) membership.announce('draining');
    await timer.sleep(settings.balancerMilliseconds);
    const deadline = timer.now() + settings.drainMilliseconds;
    const remainingMilliseconds = () => Math.max(0, deadline - timer.now());
    const interruptedSessions = await callers.drain(remainingMilliseconds());
    if (isOnlyServingMachine) membership.announce('draining');
    // Sessions on other VMs may still use connection leases of this VM.
    await registry.waitUntilDrained(remainingMilliseconds());
    const interruptedLeases = await network.waitUntilIdle(
      LEASE_CONNECTION,
      remainingMilliseconds(),
    );
    logger.info('drained', {interruptedSessions, interruptedLeases});
    await this.stop();
    return interruptedSessions + interruptedLeases;
  }

  private async stop(): Promise<void> {
    const {membership, registry, operators, log, network} = this.components;
    await membership.leave();
    registry.stop();
    await operators.close();
    await log?.stop();
    await network.close();
  }
}

function hasOtherServingMachine(membership: Membership, self: string): boolean {
  return membership.machines.current.some(
    ({name, state}) => name !== self && state === 'serving',
  );
}

function createGauges(components: EntryComponents): readonly Gauge[] {
  const {membership, control, callers, network, timer} = components;
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
      read: () => network.dialledLinkCount,
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

async function startControlComponents(
  base: BaseComponents,
): Promise<ControlComponents> {
  const {settings, timer, logger, network} = base;
  const self = settings.name;
  const membership = joinMembership(base);
  const {machines} = membership;
  const log = await startControlLog({...base, machines});
  const folder = await openDataFolder(settings);
  const controlClientOptions = {
    self,
    network,
    timer,
    logger,
    machines,
    log,
    folder,
  };
  const control = await ControlClient.start(controlClientOptions);
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
  const controlComponents = {membership, log, control, registry};
  startFailoverHandling(base, controlComponents, client);
  return controlComponents;
}

function startCallerListener(
  base: BaseComponents,
  controlComponents: ControlComponents,
  observer: SessionObserver,
): Promise<CallerListener> {
  const {settings, timer, logger, network} = base;
  const {membership, control, registry} = controlComponents;
  const {view} = control;
  const self = settings.name;
  const leaseClient = OwnerLeaseClient.create(
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
    router: Router.create(settings.dataCentre, view, leaseClient, timer),
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

function joinMembership(base: BaseComponents): Membership {
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

function startFailoverHandling(
  base: BaseComponents,
  {log, registry, membership}: ControlComponents,
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
