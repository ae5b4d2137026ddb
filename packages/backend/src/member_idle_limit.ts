/**
 * A member closes a connection that has been idle for this long, inside or
 * outside a transaction. Owners use or probe each connection more often, so
 * only connections of a stopped or lost owner are closed, which releases their
 * locks. Set as PostgreSQL's `idle_session_timeout` and
 * `idle_in_transaction_session_timeout`.
 */
export const MEMBER_IDLE_LIMIT_MILLISECONDS = 3_000;

/**
 * Safety margin on top of the idle limit, after which the connections of an
 * unreachable owner are considered closed.
 */
export const MEMBER_IDLE_MARGIN_MILLISECONDS = 250;
