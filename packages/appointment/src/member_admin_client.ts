import {Either, Left} from 'purify-ts';
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
/** How many times a command is sent to a member that is too busy to answer. */
const MAXIMUM_ATTEMPTS = 6;
const RETRY_INTERVAL_MILLISECONDS = 15;

/** A member with its report of its own state. */
export interface MemberWithReport {
  readonly member: Member;
  readonly report: MemberReport;
}

/** Why a member did not answer a command. */
export type MemberAdminError = ConnectError | ConnectionError;

type Command = (
  connection: MemberConnection,
) => Promise<Either<ConnectionError, MemberReport>>;

/** Fetches reports of members and sends them administrative commands. */
export class MemberAdminClient {
  private constructor(
    private readonly connector: MemberConnector,
    private readonly timer: TimerService,
  ) {}

  /** Creates a client that connects to members through `connector`. */
  static create(
    connector: MemberConnector,
    timer: TimerService,
  ): MemberAdminClient {
    return new MemberAdminClient(connector, timer);
  }

  /** Fetches the report of each member. Members without an answer are omitted. */
  reports(members: readonly Member[]): Promise<readonly MemberWithReport[]> {
    return this.collectReports(members, member => this.report(member));
  }

  /** Fetches the report of one member. */
  report(member: Member): Promise<Either<MemberAdminError, MemberReport>> {
    return this.runCommand(member, connection =>
      connection.report(COMMAND_TIMEOUT_MILLISECONDS),
    );
  }

  /** Fences each member at a term. Resolves to the members that are fenced. */
  async fence(
    members: readonly Member[],
    term: number,
  ): Promise<readonly MemberWithReport[]> {
    const answered = await this.collectReports(members, member =>
      this.runCommand(member, connection =>
        connection.fence(term, COMMAND_TIMEOUT_MILLISECONDS),
      ),
    );
    return answered.filter(({report}) => report.fencedTerm >= term);
  }

  /**
   * Releases a member from fencing, so that it receives records again. The
   * command is sent only if `mayRelease` holds once the member has accepted the
   * connection: a later failover may have fenced the member by then, and counts
   * on it.
   */
  release(
    member: Member,
    mayRelease: () => boolean,
  ): Promise<Either<MemberAdminError, MemberReport>> {
    return this.runCommand(member, async connection =>
      mayRelease()
        ? connection.release(COMMAND_TIMEOUT_MILLISECONDS)
        : Left({kind: 'connectionLost', reason: 'the release is outdated'}),
    );
  }

  /** Demotes a primary of an earlier term to a replica. */
  stepDown(
    member: Member,
    term: number,
  ): Promise<Either<MemberAdminError, MemberReport>> {
    return this.runCommand(member, connection =>
      connection.stepDown(term, COMMAND_TIMEOUT_MILLISECONDS),
    );
  }

  private async collectReports(
    members: readonly Member[],
    fetchReport: (
      member: Member,
    ) => Promise<Either<MemberAdminError, MemberReport>>,
  ): Promise<readonly MemberWithReport[]> {
    const answers = await Promise.all(
      members.map(async member => ({
        member,
        answer: await fetchReport(member),
      })),
    );
    return answers.flatMap(({member, answer}) =>
      answer
        .map((report): readonly MemberWithReport[] => [{member, report}])
        .orDefault([]),
    );
  }

  private async runCommand(
    member: Member,
    command: Command,
  ): Promise<Either<MemberAdminError, MemberReport>> {
    const connected = await this.connector.connect(
      {
        database: member.database,
        name: member.name,
        host: member.address.host,
        port: member.address.port,
      },
      CONNECT_TIMEOUT_MILLISECONDS,
    );
    if (connected.isLeft()) return connected as Either<MemberAdminError, never>;
    const connection = connected.unsafeCoerce();
    let answer = await command(connection);
    for (let attempt = 1; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      if (answer.isRight() || !connection.usable) break;
      await this.timer.sleep(RETRY_INTERVAL_MILLISECONDS);
      answer = await command(connection);
    }
    connection.close();
    return answer;
  }
}
