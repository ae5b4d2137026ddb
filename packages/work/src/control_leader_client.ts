import {Either, Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {PeerCall, PeerError, PeerNetwork} from '@apricotlock/peer';
import {VirtualMachine} from '@apricotlock/topology';

/** After this time without an answer, the other control VMs are called too. */
const KNOWN_LEADER_TIMEOUT_MILLISECONDS = 250;

/** Options of a client of the control leader. */
export interface ControlLeaderClientOptions {
  readonly network: PeerNetwork;
  readonly machines: Observable<readonly VirtualMachine[]>;
}

/**
 * Calls the control leader. The leader is one of the control VMs that vote, and
 * all others refuse its calls, so the client can find it by calling them all.
 * The VM that last answered is called first.
 */
export class ControlLeaderClient {
  private leader: string | undefined;

  private constructor(private readonly options: ControlLeaderClientOptions) {}

  /** Creates a client that does not know the leader yet. */
  static create(options: ControlLeaderClientOptions): ControlLeaderClient {
    return new ControlLeaderClient(options);
  }

  /**
   * Calls the last known leader and, if it does not answer in time or refuses,
   * all other control VMs at once. Resolves to the first successful answer, or the
   * last error if no control VM answers.
   */
  async call<Request, Answer>(
    call: PeerCall<Request, Answer>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerError, Answer>> {
    const voters = this.options.machines.current.filter(
      ({controlVoter}) => controlVoter,
    );
    const known = voters.find(({name}) => name === this.leader);
    if (known !== undefined) {
      const limit = Math.min(
        KNOWN_LEADER_TIMEOUT_MILLISECONDS,
        timeoutMilliseconds,
      );
      const answer = await this.callVoter(known, call, request, limit);
      if (answer.isRight()) return answer;
    }
    const others = voters.filter(voter => voter !== known);
    return this.firstSuccess(
      others.map(voter =>
        this.callVoter(voter, call, request, timeoutMilliseconds),
      ),
    );
  }

  private async callVoter<Request, Answer>(
    {name, peerAddress}: VirtualMachine,
    call: PeerCall<Request, Answer>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Either<PeerError, Answer>> {
    const {network} = this.options;
    const answer = await network.call(
      peerAddress,
      call,
      request,
      timeoutMilliseconds,
    );
    if (answer.isRight()) this.leader = name;
    return answer;
  }

  /** Resolves to the first successful answer, or the last error. */
  private firstSuccess<Answer>(
    answers: ReadonlyArray<Promise<Either<PeerError, Answer>>>,
  ): Promise<Either<PeerError, Answer>> {
    return new Promise(resolve => {
      let pendingCount = answers.length;
      if (pendingCount === 0) resolve(Left(NO_CONTROL_VM));
      for (const pending of answers) {
        void pending.then(answer => {
          pendingCount -= 1;
          if (answer.isRight()) resolve(Right(answer.unsafeCoerce()));
          else if (pendingCount === 0) resolve(answer);
        });
      }
    });
  }
}

const NO_CONTROL_VM: PeerError = {
  kind: 'notSent',
  reason: 'no control VM is known',
};
