import {Either, Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {PeerCall, PeerError, PeerNetwork} from '@apricotlock/peer';
import {VirtualMachine} from '@apricotlock/topology';

const FIRST_ANSWER_MILLISECONDS = 250;

/** What finding the control leader needs. */
export interface LeaderClientOptions {
  readonly network: PeerNetwork;
  readonly machines: Observable<readonly VirtualMachine[]>;
}

/**
 * Calls the VM that leads control, of which only that it votes is known: all
 * others refuse such calls. The one that answered last is asked first.
 */
export class LeaderClient {
  private leader: string | undefined;

  private constructor(private readonly options: LeaderClientOptions) {}

  /** A client that knows no leader yet. */
  static create(options: LeaderClientOptions): LeaderClient {
    return new LeaderClient(options);
  }

  /** Calls the leader; without an answer from it, every control VM at once. */
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
      const limit = Math.min(FIRST_ANSWER_MILLISECONDS, timeoutMilliseconds);
      const answer = await this.ask(known, call, request, limit);
      if (answer.isRight()) return answer;
    }
    const others = voters.filter(voter => voter !== known);
    return this.first(
      others.map(voter => this.ask(voter, call, request, timeoutMilliseconds)),
    );
  }

  private async ask<Request, Answer>(
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

  /** The first good answer, or the last failure. */
  private first<Answer>(
    answers: ReadonlyArray<Promise<Either<PeerError, Answer>>>,
  ): Promise<Either<PeerError, Answer>> {
    return new Promise(resolve => {
      let open = answers.length;
      if (open === 0) resolve(Left(NOBODY));
      for (const pending of answers) {
        void pending.then(answer => {
          open -= 1;
          if (answer.isRight()) resolve(Right(answer.unsafeCoerce()));
          else if (open === 0) resolve(answer);
        });
      }
    });
  }
}

const NOBODY: PeerError = {
  kind: 'notSent',
  reason: 'no control VM is known',
};
