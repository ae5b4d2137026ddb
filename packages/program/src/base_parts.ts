import {Logger} from '@apricotlock/logging';
import {Observable} from '@apricotlock/flow';
import {SwimMembership, UdpDatagramTransport} from '@apricotlock/membership';
import {ringOf, WebSocketPeerNetwork} from '@apricotlock/peer';
import {SystemTimerService, TimerService} from '@apricotlock/timer';
import {formatAddress} from '@apricotlock/topology';
import {ProgramSettings} from './program_settings.js';

const MAXIMUM_PEER_MESSAGE_BYTES = 64 << 20;
/** The platform gives no secret: its internal network is not open to others. */
const PEER_KEY = 'apricotlock-platform';

/** What both programs are made of. */
export interface BaseParts {
  readonly settings: ProgramSettings;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly network: WebSocketPeerNetwork;
  readonly membership: SwimMembership;
  /** The name by which the system's own processes know this one. */
  readonly self: string;
}

/** Starts what both programs need. Throws if an address can't be had. */
export async function startBase(
  settings: ProgramSettings,
  logger: Logger,
  controlVoter: boolean,
): Promise<BaseParts> {
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
    keys: Observable.of(ringOf(PEER_KEY)),
    timer,
    logger,
  });
  return {settings, timer, logger, network, membership, self};
}
