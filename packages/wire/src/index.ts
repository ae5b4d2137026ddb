/**
 * Reads and writes the messages of the PostgreSQL protocol, version 3.0, that
 * the proxy handles itself. Other messages are relayed as bytes.
 *
 * Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol".
 *
 * @packageDocumentation
 */
export {
  backendKeyData,
  emptyMessage,
  commandComplete,
  dataRow,
  errorResponse,
  parameterDescription,
  parameterStatus,
  readCommandTag,
  readErrorResponse,
  readFirstValue,
  readReadyForQuery,
  readyForQuery,
  rowDescription,
  type ColumnDescription,
  type DatabaseErrorFields,
} from './backend_message.js';
export {cancelRequestBytes, sendCancelRequest} from './cancel_request.js';
export {ByteStream} from './byte_stream.js';
export {
  FRAME_HEADER_BYTES,
  FrameSplitter,
  type Frame,
  type FrameError,
  type FrameFormat,
} from './frame.js';
export {
  bindMessage,
  describeStatementMessage,
  parseMessage,
  queryMessage,
  readBind,
  readParse,
  readQuery,
  readTarget,
  syncMessage,
  type BindMessage,
  type MessageError,
  type ParseMessage,
  type TargetMessage,
} from './frontend_message.js';
export {
  BackendType,
  FrontendType,
  type TransactionStatus,
} from './message_type.js';
export {createScramVerifier, type ScramVerifier} from './scram_verifier.js';
export {
  acceptCaller,
  type AcceptedCaller,
  type AcceptError,
  type AcceptOptions,
  type CallerAuthentication,
  type CancelRequest,
  type StartUpParameters,
} from './start_up.js';
export {SqlState, type SqlStateCode} from './sql_state.js';
export {type BackendTls} from './backend_socket.js';
export {SCRAM_MECHANISM, ScramClient, type ScramError} from './scram_client.js';
export {
  openBackendConnection,
  type BackendConnectionError,
  type BackendConnectionOptions,
  type OpenedBackend,
} from './backend_start_up.js';
