/**
 * Membership: tracks which processes of the system are alive, with the SWIM
 * protocol over authenticated datagrams.
 *
 * @packageDocumentation
 */
export {DatagramTransport, type DatagramHandler} from './datagram_transport.js';
export {Membership} from './membership.js';
export {
  MemoryDatagramNetwork,
  type DatagramFilter,
} from './memory_datagram_network.js';
export {SwimMembership, type SwimOptions} from './swim_membership.js';
export {UdpDatagramTransport} from './udp_datagram_transport.js';
