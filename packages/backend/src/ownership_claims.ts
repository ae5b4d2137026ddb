import {Either} from 'purify-ts';
import {PeerError, PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {
  MEMBER_IDLE_LIMIT_MILLISECONDS,
  MEMBER_LEASE_MARGIN_MILLISECONDS,
} from './member_lease.js';
import {
  CLAIM_OWNERSHIP,
  ClaimAnswer,
  Holding,
  OwnershipClaim,
} from './ownership_messages.js';

const CALL_TIMEOUT_MILLISECONDS = 300;
const ASK_AGAIN_MILLISECONDS = 25;
/** After this long without any answer a VM has nothing at the member. */
const UNREACHABLE_LIMIT_MILLISECONDS =
  MEMBER_IDLE_LIMIT_MILLISECONDS + MEMBER_LEASE_MARGIN_MILLISECONDS;
const REFUSED_CONNECTION = /ECONNREFUSED/;

/** What claims need. */
export interface OwnershipClaimsOptions {
  readonly claim: OwnershipClaim;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  /** Called on each change of what the claims have come to. */
  readonly changed: () => void;
}

/** What one VM said: nothing yet, that it keeps the member, or what it has. */
type Standing = 'unknown' | 'kept' | Holding;

interface Asked {
  readonly machine: VirtualMachine;
  standing: Standing | 'free';
  stopped: boolean;
}

/**
 * Claims to one member towards all VMs that may have owned it before. The
 * claimant may begin work only while none of them is unanswered or keeps the
 * member, and has to leave them what they still hold.
 */
export class OwnershipClaims {
  private readonly asked = new Map<string, Asked>();

  private constructor(private readonly options: OwnershipClaimsOptions) {}

  /** Claims towards nobody yet. */
  static create(options: OwnershipClaimsOptions): OwnershipClaims {
    return new OwnershipClaims(options);
  }

  /** What others still hold; `undefined` while the claimant has to wait. */
  get heldByOthers(): readonly Holding[] | undefined {
    const held: Holding[] = [];
    for (const {standing} of this.asked.values()) {
      if (standing === 'unknown' || standing === 'kept') return undefined;
      if (standing !== 'free') held.push(standing);
    }
    return held;
  }

  /** Asks those among the candidates that have not been asked. */
  update(candidates: readonly VirtualMachine[]): void {
    const keys = new Set(candidates.map(keyOf));
    for (const [key, {standing}] of this.asked) {
      // One that comes back may have owned the member meanwhile.
      if (!keys.has(key) && standing === 'free') this.asked.delete(key);
    }
    for (const machine of candidates) {
      const key = keyOf(machine);
      if (this.asked.has(key)) continue;
      const asked: Asked = {machine, standing: 'unknown', stopped: false};
      this.asked.set(key, asked);
      void this.ask(asked);
    }
  }

  /** Takes every answer for outdated, and asks anew. */
  restart(candidates: readonly VirtualMachine[]): void {
    this.stop();
    this.asked.clear();
    this.update(candidates);
  }

  /** Asks no more. */
  stop(): void {
    for (const asked of this.asked.values()) asked.stopped = true;
  }

  private async ask(asked: Asked): Promise<void> {
    const {network, claim, timer} = this.options;
    let heardAt = timer.now();
    while (!asked.stopped && asked.standing !== 'free') {
      const answer = await network.call(
        asked.machine.peerAddress,
        CLAIM_OWNERSHIP,
        claim,
        CALL_TIMEOUT_MILLISECONDS,
      );
      if (answer.isRight()) heardAt = timer.now();
      const silent = timer.now() - heardAt;
      const standing = standingOf(answer, silent, asked.standing);
      if (standing !== asked.standing) {
        asked.standing = standing;
        this.options.changed();
      }
      if (standing !== 'free') await timer.sleep(ASK_AGAIN_MILLISECONDS);
    }
  }
}

function standingOf(
  answer: Either<PeerError, ClaimAnswer>,
  silentMilliseconds: number,
  before: Standing | 'free',
): Standing | 'free' {
  return answer.caseOf<Standing | 'free'>({
    Left: error => {
      // Nobody listens there: the process is gone, and its connections too.
      const gone =
        error.kind === 'notSent' && REFUSED_CONNECTION.test(error.reason);
      const unreachable = silentMilliseconds >= UNREACHABLE_LIMIT_MILLISECONDS;
      return gone || unreachable ? 'free' : before;
    },
    Right: given => (given.kind === 'holding' ? given.holding : given.kind),
  });
}

function keyOf(machine: VirtualMachine): string {
  return `${machine.name}\0${machine.incarnation}`;
}
