/**
 * Unshipped: stands between real processes and injects the faults of a
 * network, for each pair of processes and each direction.
 *
 * @packageDocumentation
 */
export {FaultPlan, type LaneFault} from './fault_plan.js';
export {FaultRelay, type FaultRelayOptions} from './fault_relay.js';
export {findSocketOwner} from './socket_owner.js';
