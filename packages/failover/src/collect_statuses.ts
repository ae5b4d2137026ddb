import {Either} from 'purify-ts';
import {MemberError, MemberStatus} from '@apricotlock/member';
import {Member} from '@apricotlock/topology';

/** Options of {@link collectStatuses}. */
export interface CollectOptions {
  /** The number of accepted statuses after which no more are awaited. */
  readonly requiredCount: number;
  /** Returns whether a status is collected. */
  readonly accepts: (status: MemberStatus) => boolean;
}

/**
 * Calls all members concurrently and collects the accepted statuses. Resolves
 * once there are as many as required or every member has answered or failed.
 */
export function collectStatuses(
  members: readonly Member[],
  call: (member: Member) => Promise<Either<MemberError, MemberStatus>>,
  options: CollectOptions,
): Promise<readonly MemberStatus[]> {
  return new Promise(resolve => {
    const statuses: MemberStatus[] = [];
    let pendingCount = members.length;
    if (pendingCount === 0) resolve([]);
    for (const member of members) {
      void call(member).then(answer => {
        pendingCount -= 1;
        answer.ifRight(status => {
          // A different member may now use an address that this one has left.
          const isSameMember = status.name === member.name;
          if (isSameMember && options.accepts(status)) statuses.push(status);
        });
        if (pendingCount === 0 || statuses.length >= options.requiredCount) {
          resolve([...statuses]);
        }
      });
    }
  });
}
