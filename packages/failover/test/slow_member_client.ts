import {Either, Left, Right} from 'purify-ts';
import {MemberClient, MemberError, MemberStatus} from '@apricotlock/member';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';

interface SlowMember {
  readonly status: MemberStatus;
  /** The time at which the disk completes the last requested sync. */
  readonly busyUntil: number;
}

/**
 * Simulates members that sync each new term to a slow disk. A command that
 * times out is still carried out, as by a real member.
 */
export class SlowMemberClient extends MemberClient {
  private readonly members = new Map<number, SlowMember>();

  private constructor(
    private readonly timer: TimerService,
    private readonly syncMilliseconds: number,
  ) {
    super();
  }

  /** Creates a client without members. */
  static create(
    timer: TimerService,
    syncMilliseconds: number,
  ): SlowMemberClient {
    return new SlowMemberClient(timer, syncMilliseconds);
  }

  /** Adds a member that answers at the given port. */
  addMember(port: number, status: MemberStatus): void {
    this.members.set(port, {status, busyUntil: 0});
  }

  override async fetchStatus(
    address: Address,
  ): Promise<Either<MemberError, MemberStatus>> {
    const member = this.members.get(address.port);
    return member === undefined
      ? Left({kind: 'timedOut'})
      : Right(member.status);
  }

  override fence(
    address: Address,
    term: number,
    timeoutMilliseconds: number,
  ): Promise<Either<MemberError, MemberStatus>> {
    return this.runCommand(address, timeoutMilliseconds, status =>
      status.fencedTerm >= term ? status : {...status, fencedTerm: term},
    );
  }

  override promote(
    address: Address,
    term: number,
    timeoutMilliseconds: number,
  ): Promise<Either<MemberError, MemberStatus>> {
    return this.runCommand(address, timeoutMilliseconds, status =>
      status.term === term ? status : {...status, term, role: 'primary'},
    );
  }

  override follow(
    address: Address,
    _term: number,
    _source: unknown,
    timeoutMilliseconds: number,
  ): Promise<Either<MemberError, MemberStatus>> {
    return this.runCommand(address, timeoutMilliseconds, status => status);
  }

  private async runCommand(
    {port}: Address,
    timeoutMilliseconds: number,
    change: (status: MemberStatus) => MemberStatus,
  ): Promise<Either<MemberError, MemberStatus>> {
    const {timer} = this;
    const member = this.members.get(port);
    if (member === undefined) {
      await timer.sleep(timeoutMilliseconds);
      return Left({kind: 'timedOut'});
    }
    const status = change(member.status);
    const now = timer.now();
    const startsAt = Math.max(now, member.busyUntil);
    const isChanged = status !== member.status;
    const busyUntil = startsAt + (isChanged ? this.syncMilliseconds : 0);
    this.members.set(port, {status, busyUntil});
    const remainingMilliseconds = busyUntil - now;
    await timer.sleep(Math.min(remainingMilliseconds, timeoutMilliseconds));
    return remainingMilliseconds > timeoutMilliseconds
      ? Left({kind: 'timedOut'})
      : Right(status);
  }
}
