import {Either, Left, Right} from 'purify-ts';
import {GroupWatch} from '@apricotlock/group';
import {MemberStatus} from '@apricotlock/member';
import {findMember} from '@apricotlock/topology';
import {LeaseRefusal, LeaseRequest, ReadFloor} from './lease_messages.js';

/** Decides by role, term and position whether a member may serve a request. */
export class LeaseAdmission {
  private constructor(
    private readonly member: string,
    private readonly watch: GroupWatch,
  ) {}

  /** Creates the admission check for one member. */
  static create(member: string, watch: GroupWatch): LeaseAdmission {
    return new LeaseAdmission(member, watch);
  }

  /**
   * Checks whether the member may serve the request. Waits for a replica that
   * is behind to catch up, for at most the request's `floorWaitMilliseconds`.
   */
  async admit(request: LeaseRequest): Promise<Either<LeaseRefusal, void>> {
    const refusal = this.refusalFor(request);
    if (refusal === undefined) return Right(undefined);
    const shouldWait =
      refusal.kind === 'behind' && request.floorWaitMilliseconds > 0;
    if (!shouldWait) return Left(refusal);
    const caughtUp = await this.watch.waitFor(
      () => this.refusalFor(request)?.kind !== 'behind',
      request.floorWaitMilliseconds,
    );
    if (!caughtUp) return Left({kind: 'behind'});
    const finalRefusal = this.refusalFor(request);
    return finalRefusal === undefined ? Right(undefined) : Left(finalRefusal);
  }

  /**
   * Returns the reason why the member may not serve the request now, or
   * `undefined` if it may.
   */
  refusalFor(request: LeaseRequest): LeaseRefusal | undefined {
    const {watch} = this;
    const member = findMember(watch.group, this.member);
    if (member === undefined || member.state !== 'active') {
      return {kind: 'draining'};
    }
    const observation = watch.observation(member.name);
    const status = observation?.status;
    if (status === undefined) return {kind: 'unreachable'};
    if (request.purpose === 'write') {
      const isPrimary =
        status.role === 'primary' && status.term === request.term;
      return isPrimary ? undefined : {kind: 'wrongTerm'};
    }
    if (observation?.failure !== undefined) return {kind: 'unreachable'};
    // A member of an earlier term may show writes that were never confirmed.
    if (status.term < watch.group.term) return {kind: 'behind'};
    const isFresh =
      hasReached(status, request.floor) &&
      isWithinAge(
        watch.dataAgeMilliseconds(member.name),
        request.maximumAgeMilliseconds,
      );
    return isFresh ? undefined : {kind: 'behind'};
  }

  /** Returns the term and role that the member last reported. */
  lastObservedRole() {
    const status = this.watch.observation(this.member)?.status;
    return {term: status?.term ?? 0, role: status?.role ?? 'replica'};
  }
}

function hasReached(
  status: MemberStatus,
  floor: ReadFloor | undefined,
): boolean {
  if (floor === undefined) return true;
  return status.term >= floor.term && status.applied >= floor.position;
}

function isWithinAge(
  ageMilliseconds: number | undefined,
  maximumMilliseconds: number | undefined,
): boolean {
  if (maximumMilliseconds === undefined) return true;
  return (
    ageMilliseconds !== undefined && ageMilliseconds <= maximumMilliseconds
  );
}
