import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {PING} from '@apricotlock/work';
import {ContactAges, isContactDoubtful, isViewFresh} from './isolation.js';

const CHECK_INTERVAL_MILLISECONDS = 100;
const PING_TIMEOUT_MILLISECONDS = 120;
/** How many VMs are pinged in each interval, one after the other in turn. */
const PINGS_PER_INTERVAL = 4;

/** Dependencies of the contact to other entry VMs. */
export interface PeerContactOptions {
  readonly self: string;
  /** The entry VMs that membership considers live. */
  readonly machines: Observable<readonly VirtualMachine[]>;
  /** Returns how long ago this VM heard from control and from lease holders. */
  readonly ages: () => ContactAges;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/**
 * Finds out which entry VMs still answer while this VM hears neither from
 * control nor from any lease holder. The VMs that were live before that are
 * pinged, since membership forgets those that it takes for dead. Nothing is
 * sent in normal operation.
 */
export class PeerContact {
  /** The other entry VMs that were live when control was last in reach. */
  private peers: readonly VirtualMachine[] = [];
  private readonly pending = new Set<string>();
  private readonly lost = new Set<string>();
  private turn = 0;
  private readonly stopChecking: Unsubscribe;

  private constructor(private readonly options: PeerContactOptions) {
    this.stopChecking = options.timer.every(CHECK_INTERVAL_MILLISECONDS, () =>
      this.check(),
    );
  }

  /** Starts to check periodically whether pings are needed. */
  static start(options: PeerContactOptions): PeerContact {
    return new PeerContact(options);
  }

  /** Whether a VM that was live before does not answer any more. */
  get hasLostPeer(): boolean {
    return this.lost.size > 0;
  }

  /** Stops checking. */
  stop(): void {
    this.stopChecking();
  }

  private check(): void {
    const {machines, self} = this.options;
    const ages = this.options.ages();
    if (isViewFresh(ages)) {
      this.peers = machines.current.filter(({name}) => name !== self);
    }
    if (!isContactDoubtful(ages)) {
      this.lost.clear();
      return;
    }
    const count = Math.min(PINGS_PER_INTERVAL, this.peers.length);
    for (let index = 0; index < count; index++) {
      this.turn = (this.turn + 1) % this.peers.length;
      void this.checkPeer(this.peers[this.turn] as VirtualMachine);
    }
  }

  private async checkPeer({name, peerAddress}: VirtualMachine): Promise<void> {
    if (this.pending.has(name)) return;
    this.pending.add(name);
    const {network, ages, logger} = this.options;
    const answer = await network.call(
      peerAddress,
      PING,
      {},
      PING_TIMEOUT_MILLISECONDS,
    );
    this.pending.delete(name);
    if (answer.isRight()) this.lost.delete(name);
    else if (isContactDoubtful(ages()) && !this.lost.has(name)) {
      this.lost.add(name);
      logger.info('an entry VM does not answer', {name});
    }
  }
}
