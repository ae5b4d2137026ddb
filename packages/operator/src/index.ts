/**
 * The HTTP API for operators: the server that runs in each process, and its
 * client.
 *
 * @packageDocumentation
 */
export {OperatorClient, type OperatorError} from './operator_client.js';
export {
  type ChangeReport,
  type DatabaseReport,
  type MachineReport,
  type ServerReport,
  type StatusReport,
} from './operator_messages.js';
export {
  OperatorBackend,
  OperatorServer,
  type OperatorServerOptions,
} from './operator_server.js';
