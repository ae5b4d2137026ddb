import {Logger} from '@apricotlock/logging';
import {Observable} from '@apricotlock/flow';
import {SwimMembership, UdpDatagramTransport} from '@apricotlock/membership';
import {createKeyRing, WebSocketPeerNetwork} from '@apricotlock/peer';
import {SystemTimerService, TimerService} from '@apricotlock/timer';
import {formatAddress} from '@apricotlock/topology';
import {ProgramSettings} from './program_settings.js';

const MAXIMUM_PEER_MESSAGE_BYTES = 64 << 20;
/**
 * The key that authenticates messages between processes. It is not secret: the
 * platform provides no secret, and its internal network is closed to others.
 */
const PEER_KEY = 'apricotlock-platform';

/** Settings and services that both programs use. */
export interface ProgramContext {
  readonly settings: ProgramSettings;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly network: WebSocketPeerNetwork;
  readonly membership: SwimMembership;
  /** The name of this process among the processes of the system. */
  readonly self: string;
}

/**
 * Starts the network and the membership of a program. Throws if an address
 * cannot be bound.
 */
export async function startProgramContext(
  settings: ProgramSettings,
  logger: Logger,
  controlVoter: boolean,
): Promise<ProgramContext> {
  const timer = SystemTimerService.create();
  const {peerAddress, dataCentre, seeds, controlAddress} = settings;
  const self = formatAddress(peerAddress);
  const network = await WebSocketPeerNetwork.start({
    listen: peerAddress,
    key: PEER_KEY,
    timer,
    logger,
    maximumMessageBytes: MAXIMUM_PEER_MESSAGE_BYTES,
  });
  const membership = SwimMembership.start({
    self: {
      name: self,
      incarnation: timer.wallClock(),
      dataCentre,
      peerAddress,
      operatorAddress: controlAddress ?? peerAddress,
      controlVoter,
      state: 'serving',
    },
    seeds,
    transport: await UdpDatagramTransport.start(peerAddress),
    keys: Observable.of(createKeyRing(PEER_KEY)),
    timer,
    logger,
  });
  return {settings, timer, logger, network, membership, self};
}
