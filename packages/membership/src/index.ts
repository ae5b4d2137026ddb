/**
 * Which processes of the system are alive.
 *
 * @packageDocumentation
 */
export {GossipMembership, type GossipOptions} from './gossip_membership.js';
export {Membership} from './membership.js';
