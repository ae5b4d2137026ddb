/**
 * The operators' command-line client: parsing and editing of the catalogue,
 * exit codes and table output. `main.ts` is the program itself.
 *
 * @packageDocumentation
 */
export {
  catalogueChanges,
  organisationChanges,
  withAssignments,
  type CatalogueChange,
} from './catalogue_edit.js';
export {ExitCode} from './exit_code.js';
export {parseSince} from './system_commands.js';
export {renderTable, type OutputTable} from './output.js';
