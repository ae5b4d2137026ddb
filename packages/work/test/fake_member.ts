import {Either, Left, Right} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';
import {
  ConnectError,
  ConnectionError,
  MemberCommand,
  MemberConnection,
  MemberConnector,
  MemberReport,
  MemberTarget,
  StatementAnswer,
} from '@apricotlock/statement';

const POSITION = {term: 1, number: 7};

/**
 * Returns the answer to a command, or `lost` to end the connection without an
 * answer.
 */
export type AnswerHandler = (
  command: MemberCommand,
  connection: FakeMemberConnection,
) => Promise<StatementAnswer | 'lost'>;

/** Returns the answer to a command that succeeded. */
export function complete(
  state: StatementAnswer['state'] = 'idle',
): StatementAnswer {
  return {
    rows: [],
    end: {kind: 'complete', signature: 's'},
    state,
    position: POSITION,
  };
}

/** A connector to a fake member, whose answers a test provides. */
export class FakeMemberConnector extends MemberConnector {
  readonly connections: FakeMemberConnection[] = [];
  failure: ConnectError | undefined;

  constructor(readonly handler: AnswerHandler) {
    super();
  }

  override async connect(
    _target: MemberTarget,
    _timeoutMilliseconds: number,
    organisation?: string,
  ): Promise<Either<ConnectError, MemberConnection>> {
    if (this.failure !== undefined) return Left(this.failure);
    const connection = new FakeMemberConnection(this.handler, organisation);
    this.connections.push(connection);
    return Right(connection);
  }

  /** The commands of all connections, grouped by connection. */
  get commands(): readonly MemberCommand[] {
    return this.connections.flatMap(({commands}) => commands);
  }
}

/** A connection to the fake member, which records its commands. */
export class FakeMemberConnection extends MemberConnection {
  readonly commands: MemberCommand[] = [];
  private readonly endedSignal = Deferred.create<void>();
  closed = false;
  private running = false;

  constructor(
    private readonly handler: AnswerHandler,
    readonly organisation: string | undefined,
  ) {
    super();
  }

  override get usable(): boolean {
    return !this.closed && !this.running;
  }

  override get ended(): Promise<void> {
    return this.endedSignal.promise;
  }

  override async run(
    commands: readonly MemberCommand[],
  ): Promise<Either<ConnectionError, readonly StatementAnswer[]>> {
    this.running = true;
    const answers: StatementAnswer[] = [];
    for (const command of commands) {
      this.commands.push(command);
      const answer = await Promise.race([
        this.handler(command, this),
        this.endedSignal.promise.then(() => 'lost' as const),
      ]);
      if (answer === 'lost') {
        this.close();
        return Left({kind: 'connectionLost', reason: 'lost'});
      }
      answers.push(answer);
    }
    this.running = false;
    return Right(answers);
  }

  override async report(): Promise<Either<ConnectionError, MemberReport>> {
    return Right({
      role: 'primary',
      term: POSITION.term,
      received: POSITION,
      fencedTerm: 0,
    });
  }

  override fence(): Promise<Either<ConnectionError, MemberReport>> {
    return this.report();
  }

  override release(): Promise<Either<ConnectionError, MemberReport>> {
    return this.report();
  }

  override stepDown(): Promise<Either<ConnectionError, MemberReport>> {
    return this.report();
  }

  override close(): void {
    this.closed = true;
    this.endedSignal.resolve();
  }
}
