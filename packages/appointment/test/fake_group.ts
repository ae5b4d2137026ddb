import {Either, Left, Right} from 'purify-ts';
import {
  ConnectError,
  ConnectionError,
  MemberConnection,
  MemberConnector,
  MemberReport,
  MemberTarget,
  StatementAnswer,
} from '@apricotlock/statement';
import {PromotionClient, PromotionError} from '../src/index.js';

type Report = Promise<Either<ConnectionError, MemberReport>>;

/** State of one member, set by the test. */
export class FakeMember {
  role: 'primary' | 'replica' = 'replica';
  fencedTerm = 0;
  /** Whether its process runs. */
  reachable = true;
  /** Whether it runs, but can't be reached by control VMs and other members. */
  cutOff = false;
  /** The term that it reports if that isn't the current one of the group. */
  formerTerm: number | undefined;

  constructor(
    readonly name: string,
    public number: number,
    readonly group: FakeGroup,
  ) {}

  get report(): MemberReport {
    const term = this.formerTerm ?? this.group.term;
    const {role, fencedTerm, number} = this;
    return {role, term, received: {term, number}, fencedTerm};
  }
}

/** The members of one group, which are reached without a network. */
export class FakeGroup extends MemberConnector {
  readonly members: FakeMember[] = [];
  term = 1;

  add(name: string, number: number): FakeMember {
    const member = new FakeMember(name, number, this);
    this.members.push(member);
    return member;
  }

  override async connect({
    name,
  }: MemberTarget): Promise<Either<ConnectError, MemberConnection>> {
    const member = this.members.find(each => each.name === name);
    if (member === undefined || !member.reachable || member.cutOff) {
      return Left({kind: 'unreachable', reason: 'silent'});
    }
    return Right(new FakeMemberConnection(member));
  }
}

class FakeMemberConnection extends MemberConnection {
  override readonly usable = true;
  override readonly ended = new Promise<void>(() => undefined);

  constructor(private readonly member: FakeMember) {
    super();
  }

  override async run(): Promise<
    Either<ConnectionError, readonly StatementAnswer[]>
  > {
    return Left({
      kind: 'connectionLost',
      reason: 'statements are not supported by this fake',
    });
  }

  override async report(): Report {
    return Right(this.member.report);
  }

  override async fence(term: number): Report {
    this.member.fencedTerm = term;
    return Right(this.member.report);
  }

  override async release(): Report {
    this.member.fencedTerm = 0;
    return Right(this.member.report);
  }

  override async stepDown(): Report {
    this.member.role = 'replica';
    return Right(this.member.report);
  }

  override close(): void {
    // There is no resource to release.
  }
}

/** Promotes members at once. A promotion of the current primary does nothing. */
export class FakePromotions extends PromotionClient {
  readonly ordered: string[] = [];
  /** The members whose promotion is refused because they aren't running. */
  refused: readonly string[] = [];
  /** Whether accepted promotions take effect at once. */
  isImmediate = true;
  private currentPrimary: string;

  constructor(
    private readonly group: FakeGroup,
    primary: FakeMember,
  ) {
    super();
    this.currentPrimary = primary.name;
  }

  override async promote(
    _database: string,
    name: string,
  ): Promise<Either<PromotionError, void>> {
    this.ordered.push(name);
    const member = this.group.members.find(each => each.name === name);
    const isRefused = this.refused.includes(name);
    if (member === undefined || !member.reachable || isRefused) {
      return Left({kind: 'notRunning'});
    }
    if (this.isImmediate) this.complete(member);
    return Right(undefined);
  }

  /** Makes the promotion of a member take effect. */
  complete(member: FakeMember): void {
    if (this.currentPrimary === member.name) return;
    this.currentPrimary = member.name;
    this.group.term += 1;
    for (const other of this.group.members) other.fencedTerm = 0;
    member.role = 'primary';
  }
}
