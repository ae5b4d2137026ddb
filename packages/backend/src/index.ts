/**
 * Member owners: each member has one among the live entry VMs, which holds
 * its connections, its queue and its status watch, and lends connections to
 * the sessions of all entry VMs. An owner withholds the end of an answer until
 * a majority of the group holds all that the answer may have shown.
 *
 * @packageDocumentation
 */
export {
  BackendGate,
  OwnerBackendGate,
  type LeaseConversation,
} from './backend_gate.js';
export {
  type GroupPosition,
  type LeaseDown,
  type LeaseRefusal,
  type LeaseRequest,
  type LeaseUp,
  type ReadFloor,
} from './lease_messages.js';
export {OwnerRegistry, type OwnerRegistryOptions} from './owner_registry.js';
export {LEASE} from './lease_messages.js';
