import {Either, Left, Right} from 'purify-ts';
import {GroupWatch} from '@apricotlock/group';
import {MemberStatus} from '@apricotlock/member';
import {findMember} from '@apricotlock/topology';
import {LeaseRefusal, LeaseRequest, ReadFloor} from './lease_messages.js';

/** Decides whether a member may serve a request, by its role and position. */
export class LeaseAdmission {
  private constructor(
    private readonly member: string,
    private readonly watch: GroupWatch,
  ) {}

  /** The admission to one member. */
  static of(member: string, watch: GroupWatch): LeaseAdmission {
    return new LeaseAdmission(member, watch);
  }

  /** Waits, as long as the request allows, for a replica to catch up. */
  async admit(request: LeaseRequest): Promise<Either<LeaseRefusal, void>> {
    const refusal = this.refusalFor(request);
    if (refusal === undefined) return Right(undefined);
    const mayWait =
      refusal.kind === 'behind' && request.floorWaitMilliseconds > 0;
    if (!mayWait) return Left(refusal);
    const reached = await this.watch.waitFor(
      () => this.refusalFor(request)?.kind !== 'behind',
      request.floorWaitMilliseconds,
    );
    if (!reached) return Left({kind: 'behind'});
    const later = this.refusalFor(request);
    return later === undefined ? Right(undefined) : Left(later);
  }

  /** Why the member may not serve the request now. */
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
      const leads = status.role === 'primary' && status.term === request.term;
      return leads ? undefined : {kind: 'wrongTerm'};
    }
    if (observation?.failure !== undefined) return {kind: 'unreachable'};
    // A member outside the current history may show what was never confirmed.
    if (status.term < watch.group.term) return {kind: 'behind'};
    const isFresh =
      hasReached(status, request.floor) &&
      isYoung(watch.ageOf(member.name), request.maximumAgeMilliseconds);
    return isFresh ? undefined : {kind: 'behind'};
  }

  /** The member's term and role, as last heard. */
  standing() {
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

function isYoung(
  ageMilliseconds: number | undefined,
  maximumMilliseconds: number | undefined,
): boolean {
  if (maximumMilliseconds === undefined) return true;
  return (
    ageMilliseconds !== undefined && ageMilliseconds <= maximumMilliseconds
  );
}
