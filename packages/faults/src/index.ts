/**
 * Injects network faults between real processes, for each pair of processes and
 * each direction. Not shipped.
 *
 * @packageDocumentation
 */
export {FaultPlan, type LinkFault} from './fault_plan.js';
export {FaultRelay, type FaultRelayOptions} from './fault_relay.js';
export {findSocketOwner} from './socket_owner.js';
