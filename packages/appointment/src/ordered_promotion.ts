import {ControlLog} from '@apricotlock/control';
import {Logger} from '@apricotlock/logging';
import {MemberReport} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {Member} from '@apricotlock/topology';
import {MemberAdminClient} from './member_admin_client.js';
import {PromotionClient} from './promotion_client.js';

/** Time for an ordered promotion to be accepted and take effect. */
const PROMOTION_TIMEOUT_MILLISECONDS = 4_000;
const PROMOTION_POLL_INTERVAL_MILLISECONDS = 40;
const PROMOTION_RETRY_INTERVAL_MILLISECONDS = 200;

/** Result of a request to promote a member. */
type PromotionRequestOutcome = 'accepted' | 'notRunning' | 'notAccepted';

/** An order in the control log. */
export interface PromotionOrder {
  readonly member: Member;
  /** The term of the group. */
  readonly term: number;
  /** The term of the control log in which this VM decided. */
  readonly leadingTerm: number;
  /** Returns whether the order is still the one in the control log. */
  readonly isInForce: () => boolean;
}

/** Dependencies of an ordered promotion. */
export interface OrderedPromotionOptions {
  /** The name by which outside systems know this VM. */
  readonly publicName: string;
  readonly log: ControlLog;
  readonly memberAdmin: MemberAdminClient;
  readonly promotions: PromotionClient;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/** Requests a promotion that the control log holds, and observes its effect. */
export class OrderedPromotion {
  private mayBeAccepted = false;

  private constructor(
    private readonly order: PromotionOrder,
    private readonly options: OrderedPromotionOptions,
  ) {}

  /** Creates a promotion that is not yet requested. */
  static of(
    order: PromotionOrder,
    options: OrderedPromotionOptions,
  ): OrderedPromotion {
    return new OrderedPromotion(order, options);
  }

  /**
   * Whether a request may have been accepted, so that the promotion may take
   * effect after {@link run} has given up.
   */
  get mayTakeEffect(): boolean {
    return this.mayBeAccepted;
  }

  /**
   * Resolves to the report of the member once it leads, or to `undefined` if it
   * isn't seen to lead in time.
   */
  async run(): Promise<MemberReport | undefined> {
    const {timer, memberAdmin} = this.options;
    const {member} = this.order;
    const deadline = timer.now() + PROMOTION_TIMEOUT_MILLISECONDS;
    let accepted = false;
    while (timer.now() < deadline) {
      const outcome: PromotionRequestOutcome = accepted
        ? 'accepted'
        : await this.request();
      // A member that isn't running can't be promoted by an earlier request.
      if (outcome === 'notRunning') break;
      accepted = outcome === 'accepted';
      const report = (await memberAdmin.report(member)).toMaybe().extract();
      if (report?.role === 'primary') return report;
      await timer.sleep(
        accepted
          ? PROMOTION_POLL_INTERVAL_MILLISECONDS
          : PROMOTION_RETRY_INTERVAL_MILLISECONDS,
      );
    }
    this.logInfo('promotion did not take effect', {});
    return undefined;
  }

  private async request(): Promise<PromotionRequestOutcome> {
    const {log, promotions, publicName: holder} = this.options;
    const {member, leadingTerm: fencingToken, isInForce} = this.order;
    // The order is only sent while this VM is certain to lead. A round trip to
    // renew the contact with a quorum would delay the failover, so it is made
    // only if the last contact is too old.
    const leads = log.isCertainlyLeading || (await log.confirmLeading());
    if (!leads || log.leadingTerm !== fencingToken) return 'notAccepted';
    const isCurrent = () =>
      log.isCertainlyLeading && log.leadingTerm === fencingToken && isInForce();
    const authority = {holder, fencingToken, isCurrent};
    const {database, name} = member;
    const answer = await promotions.promote(database, name, authority);
    return answer.caseOf<PromotionRequestOutcome>({
      Left: error => {
        const {kind} = error;
        this.logInfo('promotion request was not accepted', {
          failure: kind,
          fencingToken,
          ...('reason' in error && {reason: error.reason}),
        });
        if (kind === 'unavailable') this.mayBeAccepted = true;
        return kind === 'notRunning' ? kind : 'notAccepted';
      },
      Right: () => {
        this.mayBeAccepted = true;
        return 'accepted';
      },
    });
  }

  private logInfo(
    message: string,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    const {term, member} = this.order;
    const {database, name} = member;
    const context = {database, term, member: name};
    this.options.logger.info(message, {...context, ...fields});
  }
}
