/**
 * Communication between the processes of the system over WebSocket links: calls
 * with one answer, and conversations, which are bidirectional streams of
 * messages. Links are opened on demand, and closed when they are idle or stop
 * responding.
 *
 * @packageDocumentation
 */
export {type ConversationLayout, type MessageLayout} from './message_layout.js';
export {PeerCall, type Check} from './peer_call.js';
export {PeerConversation} from './peer_conversation.js';
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
export {SilentPeerNetwork} from './silent_peer_network.js';
export {checkWith, hasFields} from './schema_check.js';
export {getCurrentKeyRing, createKeyRing, type KeyRing} from './key_ring.js';
export {UnauthenticatedConnectionGuard} from './unauthenticated_connection_guard.js';
export {type TlsIdentity} from './tls_identity.js';
export {
  WebSocketPeerNetwork,
  type PeerNetworkOptions,
} from './web_socket_peer_network.js';
