/**
 * A member closes a connection that its owner has not used for so long, in a
 * transaction or not; owners use each one more often. So the member itself
 * ends what a stopped or lost owner holds, locks included. PostgreSQL does so
 * by `idle_session_timeout` and `idle_in_transaction_session_timeout`.
 */
export const MEMBER_IDLE_LIMIT_MILLISECONDS = 3_000;

/** Added to the limit before a silent owner's connections count as closed. */
export const MEMBER_LEASE_MARGIN_MILLISECONDS = 250;
