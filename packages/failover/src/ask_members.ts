import {Either} from 'purify-ts';
import {MemberError, MemberStatus} from '@apricotlock/member';
import {Member} from '@apricotlock/topology';

/** Which answers are waited for. */
export interface AskOptions {
  /** How many that count are waited for. */
  readonly enough: number;
  readonly counts: (status: MemberStatus) => boolean;
}

/** Asks members at once; gives those that count once there are enough. */
export function askMembers(
  members: readonly Member[],
  call: (member: Member) => Promise<Either<MemberError, MemberStatus>>,
  options: AskOptions,
): Promise<readonly MemberStatus[]> {
  return new Promise(resolve => {
    const statuses: MemberStatus[] = [];
    let open = members.length;
    if (open === 0) resolve([]);
    for (const member of members) {
      void call(member).then(answer => {
        open -= 1;
        answer.ifRight(status => {
          // Another member may answer at an address that was given up.
          const itself = status.name === member.name;
          if (itself && options.counts(status)) statuses.push(status);
        });
        if (open === 0 || statuses.length >= options.enough) {
          resolve([...statuses]);
        }
      });
    }
  });
}
