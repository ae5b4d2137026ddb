import {Either} from 'purify-ts';
import {PeerError, PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {
  MEMBER_IDLE_LIMIT_MILLISECONDS,
  MEMBER_IDLE_MARGIN_MILLISECONDS,
} from './member_idle_limit.js';
import {
  CLAIM_OWNERSHIP,
  ClaimAnswer,
  Holding,
  OwnershipClaim,
} from './ownership_messages.js';

const CALL_TIMEOUT_MILLISECONDS = 300;
/** Delay before a VM that has not answered `free` is asked again. */
const CLAIM_INTERVAL_MILLISECONDS = 25;
/**
 * After this long without an answer from a VM, the member has closed all
 * connections of that VM.
 */
const UNREACHABLE_LIMIT_MILLISECONDS =
  MEMBER_IDLE_LIMIT_MILLISECONDS + MEMBER_IDLE_MARGIN_MILLISECONDS;
const REFUSED_CONNECTION = /ECONNREFUSED/;

/** Options of {@link OwnershipClaims}. */
export interface OwnershipClaimsOptions {
  readonly claim: OwnershipClaim;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  /** Called whenever the state of a claim changes. */
  readonly onChange: () => void;
}

/**
 * State of the claim towards one VM: no answer yet, refused because that VM
 * keeps the member, or what that VM still holds.
 */
type ClaimState = 'unknown' | 'kept' | Holding;

interface ClaimTarget {
  readonly machine: VirtualMachine;
  state: ClaimState | 'free';
  stopped: boolean;
}

/**
 * Claims one member from all VMs that may have owned it before. The claimant
 * may start work only while no claim is unanswered and none of these VMs keeps
 * the member, and must subtract what they still hold from its limits.
 */
export class OwnershipClaims {
  private readonly targets = new Map<string, ClaimTarget>();

  private constructor(private readonly options: OwnershipClaimsOptions) {}

  /** Creates claims without target VMs. */
  static create(options: OwnershipClaimsOptions): OwnershipClaims {
    return new OwnershipClaims(options);
  }

  /** What other VMs still hold; `undefined` while the claimant must wait. */
  get heldByOthers(): readonly Holding[] | undefined {
    const held: Holding[] = [];
    for (const {state} of this.targets.values()) {
      if (state === 'unknown' || state === 'kept') return undefined;
      if (state !== 'free') held.push(state);
    }
    return held;
  }

  /** Sends claims to those candidates that have not been asked yet. */
  update(candidates: readonly VirtualMachine[]): void {
    const keys = new Set(candidates.map(keyOf));
    for (const [key, {state}] of this.targets) {
      // Removed so that the VM is asked again if it returns later: it may have
      // owned the member in between.
      if (!keys.has(key) && state === 'free') this.targets.delete(key);
    }
    for (const machine of candidates) {
      const key = keyOf(machine);
      if (this.targets.has(key)) continue;
      const target: ClaimTarget = {machine, state: 'unknown', stopped: false};
      this.targets.set(key, target);
      void this.claimUntilFree(target);
    }
  }

  /** Discards all answers and sends all claims again. */
  restart(candidates: readonly VirtualMachine[]): void {
    this.stop();
    this.targets.clear();
    this.update(candidates);
  }

  /** Stops sending claims. */
  stop(): void {
    for (const target of this.targets.values()) target.stopped = true;
  }

  private async claimUntilFree(target: ClaimTarget): Promise<void> {
    const {network, claim, timer} = this.options;
    let lastAnswerAt = timer.now();
    while (!target.stopped && target.state !== 'free') {
      const answer = await network.call(
        target.machine.peerAddress,
        CLAIM_OWNERSHIP,
        claim,
        CALL_TIMEOUT_MILLISECONDS,
      );
      if (answer.isRight()) lastAnswerAt = timer.now();
      const silentMilliseconds = timer.now() - lastAnswerAt;
      const state = computeClaimState(answer, silentMilliseconds, target.state);
      if (state !== target.state) {
        target.state = state;
        this.options.onChange();
      }
      if (state !== 'free') await timer.sleep(CLAIM_INTERVAL_MILLISECONDS);
    }
  }
}

function computeClaimState(
  answer: Either<PeerError, ClaimAnswer>,
  silentMilliseconds: number,
  previousState: ClaimState | 'free',
): ClaimState | 'free' {
  return answer.caseOf<ClaimState | 'free'>({
    Left: error => {
      // A refused connection means that the process has stopped, which closed
      // its connections to the member.
      const processStopped =
        error.kind === 'notSent' && REFUSED_CONNECTION.test(error.reason);
      const unreachable = silentMilliseconds >= UNREACHABLE_LIMIT_MILLISECONDS;
      return processStopped || unreachable ? 'free' : previousState;
    },
    Right: claimAnswer =>
      claimAnswer.kind === 'holding' ? claimAnswer.holding : claimAnswer.kind,
  });
}

function keyOf(machine: VirtualMachine): string {
  return `${machine.name}\0${machine.incarnation}`;
}
