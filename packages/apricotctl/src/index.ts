/**
 * The operators' command line.
 *
 * @packageDocumentation
 */
export {
  catalogueChanges,
  withAssignments,
  type CatalogueChange,
} from './catalogue_edit.js';
export {ExitCode} from './exit_code.js';
export {readSince} from './system_commands.js';
export {renderTable, type OutputTable} from './output.js';
