/**
 * The programs of entry VMs and control VMs on somebody's platform: they have
 * their settings from it, and speak its protocols, through abstract classes.
 * Each program has an entry point of its own, so that neither loads the other.
 *
 * @packageDocumentation
 */
export {startBase, type BaseParts} from './base_parts.js';
export {
  HttpListener,
  type HttpAnswer,
  type HttpHandler,
  type HttpListenerOptions,
  type HttpRequest,
} from './http_listener.js';
export {
  faultsOf,
  SettingsSource,
  type ProgramSettings,
  type SettingsError,
} from './program_settings.js';
export {
  runProgram,
  type ProgramDescription,
  type RunningProgram,
} from './run_program.js';
export {SettingsWatch, type SettingsWatchOptions} from './settings_watch.js';
