import {Either, Left, Right} from 'purify-ts';
import {Deferred} from '@apricotlock/flow';
import {
  ConnectError,
  ConnectionError,
  MemberCommand,
  MemberConnection,
  MemberConnector,
  MemberReport,
  StatementAnswer,
} from '@apricotlock/statement';

const POSITION = {term: 1, number: 7};

/** Answers commands; each test says how. */
export type Answering = (
  command: MemberCommand,
  connection: FakeMemberConnection,
) => Promise<StatementAnswer | 'lost'>;

/** An answer that says that all went well. */
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

/** A member whose answers a test decides. */
export class FakeMemberConnector extends MemberConnector {
  readonly connections: FakeMemberConnection[] = [];
  failure: ConnectError | undefined;

  constructor(readonly answering: Answering) {
    super();
  }

  override async connect(): Promise<Either<ConnectError, MemberConnection>> {
    if (this.failure !== undefined) return Left(this.failure);
    const connection = new FakeMemberConnection(this.answering);
    this.connections.push(connection);
    return Right(connection);
  }

  /** Commands of all connections, in the order of their connections. */
  get commands(): readonly MemberCommand[] {
    return this.connections.flatMap(({commands}) => commands);
  }
}

/** One connection to it. */
export class FakeMemberConnection extends MemberConnection {
  readonly commands: MemberCommand[] = [];
  private readonly over = Deferred.create<void>();
  closed = false;
  private running = false;

  constructor(private readonly answering: Answering) {
    super();
  }

  override get usable(): boolean {
    return !this.closed && !this.running;
  }

  override get ended(): Promise<void> {
    return this.over.promise;
  }

  override async run(
    commands: readonly MemberCommand[],
  ): Promise<Either<ConnectionError, readonly StatementAnswer[]>> {
    this.running = true;
    const answers: StatementAnswer[] = [];
    for (const command of commands) {
      this.commands.push(command);
      const answer = await Promise.race([
        this.answering(command, this),
        this.over.promise.then(() => 'lost' as const),
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
    this.over.resolve();
  }
}
