/**
 * Messages between the system's own processes: calls with one answer, and
 * conversations of many messages, over WebSocket links that are made when
 * needed and given up when they go silent.
 *
 * @packageDocumentation
 */
export {PeerCall, PeerConversation, type Check} from './peer_call.js';
export {
  createChannelPair,
  PeerChannel,
  type ChannelPair,
} from './peer_channel.js';
export {describePeerError, type PeerError} from './peer_error.js';
export {
  PeerNetwork,
  type CallHandler,
  type ConversationHandler,
} from './peer_network.js';
export {checkWith} from './schema_check.js';
export {ringFrom, ringOf, type SecretRing} from './secret_ring.js';
export {StrangerGuard} from './stranger_guard.js';
export {type TlsIdentity} from './tls_identity.js';
export {
  WebSocketPeerNetwork,
  type PeerNetworkOptions,
} from './web_socket_peer_network.js';
