import {Either, Left, Right} from 'purify-ts';
import {MemberClient, MemberError, MemberStatus} from '@apricotlock/member';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';

interface SlowMember {
  readonly status: MemberStatus;
  /** When its disk will have taken what was asked last. */
  readonly busyUntil: number;
}

/**
 * Members that sync each new term to a disk that takes a while. A command that
 * is given up before is carried out all the same, as by a real member.
 */
export class SlowMembers extends MemberClient {
  private readonly members = new Map<number, SlowMember>();

  private constructor(
    private readonly timer: TimerService,
    private readonly syncMilliseconds: number,
  ) {
    super();
  }

  /** No members yet; each sync takes so long. */
  static create(timer: TimerService, syncMilliseconds: number): SlowMembers {
    return new SlowMembers(timer, syncMilliseconds);
  }

  /** Adds a member that answers at a port. */
  add(port: number, status: MemberStatus): void {
    this.members.set(port, {status, busyUntil: 0});
  }

  override async status(
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
    return this.command(address, timeoutMilliseconds, status =>
      status.fencedTerm >= term ? status : {...status, fencedTerm: term},
    );
  }

  override promote(
    address: Address,
    term: number,
    timeoutMilliseconds: number,
  ): Promise<Either<MemberError, MemberStatus>> {
    return this.command(address, timeoutMilliseconds, status =>
      status.term === term ? status : {...status, term, role: 'primary'},
    );
  }

  override follow(
    address: Address,
    _term: number,
    _source: unknown,
    timeoutMilliseconds: number,
  ): Promise<Either<MemberError, MemberStatus>> {
    return this.command(address, timeoutMilliseconds, status => status);
  }

  private async command(
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
    const begins = Math.max(now, member.busyUntil);
    const changed = status !== member.status;
    const busyUntil = begins + (changed ? this.syncMilliseconds : 0);
    this.members.set(port, {status, busyUntil});
    const wait = busyUntil - now;
    await timer.sleep(Math.min(wait, timeoutMilliseconds));
    return wait > timeoutMilliseconds
      ? Left({kind: 'timedOut'})
      : Right(status);
  }
}
