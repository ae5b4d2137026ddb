import {Either, Right} from 'purify-ts';
import {MemberReport} from '@apricotlock/control';
import {Logger} from '@apricotlock/logging';
import {ConnectError, MemberConnector} from '@apricotlock/statement';
import {ClusterView, findGroup, findMember} from '@apricotlock/topology';

/** A member that has just started accepts a connection within this time. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** Why a report may not change which members a group has. */
export type AdmissionRefusal =
  /** Another member, or none of this name, listens at the address. */
  | 'otherMember'
  /** Nobody has answered at the address yet. */
  | 'noAnswer';

/** Dependencies of the admission of members. */
export interface MemberAdmissionOptions {
  readonly connector: MemberConnector;
  readonly logger: Logger;
}

/**
 * Admits members to groups. Anyone who reaches a control VM can report any name
 * with any address, and each member of a group counts for its majority and may
 * displace another one at its address. So a report that adds a member or moves
 * it is taken only once the process at the address has answered to the name.
 */
export class MemberAdmission {
  private constructor(private readonly options: MemberAdmissionOptions) {}

  /** Creates an instance that asks members through a connector. */
  static create(options: MemberAdmissionOptions): MemberAdmission {
    return new MemberAdmission(options);
  }

  /** Resolves to `Left` if a report may not be recorded. */
  async check(
    view: ClusterView,
    report: MemberReport,
  ): Promise<Either<AdmissionRefusal, void>> {
    if (!needsProof(view, report)) return Right(undefined);
    const {name, database, address} = report;
    const opened = await this.options.connector.connect(
      {database, name, host: address.host, port: address.port},
      CONNECT_TIMEOUT_MILLISECONDS,
    );
    opened.ifRight(connection => connection.close());
    return opened
      .map(() => undefined)
      .mapLeft(error => this.refuse(report, error));
  }

  private refuse(
    {name, database, address, incarnation}: MemberReport,
    {kind, reason}: ConnectError,
  ): AdmissionRefusal {
    this.options.logger.warn('member not admitted: no proof of its name', {
      member: name,
      database,
      address: `${address.host}:${address.port}`,
      incarnation,
      failure: kind,
      reason,
    });
    return kind === 'otherMember' ? 'otherMember' : 'noAnswer';
  }
}

/** Returns whether a report adds a member to its group, or moves it. */
function needsProof(view: ClusterView, report: MemberReport): boolean {
  const group = findGroup(view, report.database);
  // The control log refuses members of groups that no catalogue entry names.
  if (group === undefined) return false;
  const known = findMember(group, report.name);
  return (
    known === undefined ||
    known.state === 'removed' ||
    known.address.host !== report.address.host ||
    known.address.port !== report.address.port
  );
}
