/**
 * The operators' command line.
 *
 * @packageDocumentation
 */
export {ExitCode} from './exit_code.js';
export {renderTable, type OutputTable} from './output.js';
