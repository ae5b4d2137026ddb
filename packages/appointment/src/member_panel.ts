import {Either} from 'purify-ts';
import {
  ConnectError,
  ConnectionError,
  MemberConnection,
  MemberConnector,
  MemberReport,
} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {Member} from '@apricotlock/topology';

const CONNECT_TIMEOUT_MILLISECONDS = 300;
const COMMAND_TIMEOUT_MILLISECONDS = 400;
/** A member that is too busy to answer is asked again this often. */
const ATTEMPTS = 6;
const RETRY_MILLISECONDS = 15;

/** A member, and what it said of itself. */
export interface KnownMember {
  readonly member: Member;
  readonly report: MemberReport;
}

/** Why a member said nothing. */
export type PanelError = ConnectError | ConnectionError;

type Command = (
  connection: MemberConnection,
) => Promise<Either<ConnectionError, MemberReport>>;

/** Asks members about themselves and gives them orders, one by one or all. */
export class MemberPanel {
  private constructor(
    private readonly connector: MemberConnector,
    private readonly timer: TimerService,
  ) {}

  /** A panel that connects through `connector`. */
  static create(connector: MemberConnector, timer: TimerService): MemberPanel {
    return new MemberPanel(connector, timer);
  }

  /** Asks each member; gives those that answered. */
  reports(members: readonly Member[]): Promise<readonly KnownMember[]> {
    return this.collect(members, member => this.report(member));
  }

  /** Asks one member. */
  report(member: Member): Promise<Either<PanelError, MemberReport>> {
    return this.command(member, connection =>
      connection.report(COMMAND_TIMEOUT_MILLISECONDS),
    );
  }

  /** Fences each member at a term; gives those that are. */
  async fence(
    members: readonly Member[],
    term: number,
  ): Promise<readonly KnownMember[]> {
    const answered = await this.collect(members, member =>
      this.command(member, connection =>
        connection.fence(term, COMMAND_TIMEOUT_MILLISECONDS),
      ),
    );
    return answered.filter(({report}) => report.fencedTerm >= term);
  }

  /** Lets a fenced member receive again. */
  release(member: Member): Promise<Either<PanelError, MemberReport>> {
    return this.command(member, connection =>
      connection.release(COMMAND_TIMEOUT_MILLISECONDS),
    );
  }

  /** Makes a primary of an earlier term a replica. */
  stepDown(
    member: Member,
    term: number,
  ): Promise<Either<PanelError, MemberReport>> {
    return this.command(member, connection =>
      connection.stepDown(term, COMMAND_TIMEOUT_MILLISECONDS),
    );
  }

  private async collect(
    members: readonly Member[],
    ask: (member: Member) => Promise<Either<PanelError, MemberReport>>,
  ): Promise<readonly KnownMember[]> {
    const answers = await Promise.all(
      members.map(async member => ({member, answer: await ask(member)})),
    );
    return answers.flatMap(({member, answer}) =>
      answer
        .map((report): readonly KnownMember[] => [{member, report}])
        .orDefault([]),
    );
  }

  private async command(
    member: Member,
    command: Command,
  ): Promise<Either<PanelError, MemberReport>> {
    const opened = await this.connector.connect(
      {
        database: member.database,
        name: member.name,
        host: member.address.host,
        port: member.address.port,
      },
      CONNECT_TIMEOUT_MILLISECONDS,
    );
    if (opened.isLeft()) return opened as Either<PanelError, never>;
    const connection = opened.unsafeCoerce();
    let answer = await command(connection);
    for (let attempt = 1; attempt < ATTEMPTS; attempt++) {
      if (answer.isRight() || !connection.usable) break;
      await this.timer.sleep(RETRY_MILLISECONDS);
      answer = await command(connection);
    }
    connection.close();
    return answer;
  }
}
