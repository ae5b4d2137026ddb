/**
 * The programs that run on entry VMs and control VMs. The platform on which
 * they run provides their settings and protocols by implementing abstract
 * classes. Each program has its own entry point, so that neither loads the code
 * of the other.
 *
 * @packageDocumentation
 */
export {startProgramContext, type ProgramContext} from './program_context.js';
export {
  HttpListener,
  type HttpResponse,
  type HttpHandler,
  type HttpListenerOptions,
  type HttpRequest,
} from './http_listener.js';
export {
  listErrors,
  SettingsSource,
  type ProgramSettings,
  type SettingsError,
} from './program_settings.js';
export {
  runProgram,
  type ProgramDescription,
  type RunningProgram,
} from './run_program.js';
export {
  SettingsWatcher,
  type SettingsWatcherOptions,
} from './settings_watcher.js';
export {
  SignalSupervisor,
  type ProgramSignal,
  type SignalSource,
  type SignalSupervisorOptions,
} from './signal_supervisor.js';
