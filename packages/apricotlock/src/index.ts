/**
 * The process that runs on each entry VM, and its settings.
 *
 * @packageDocumentation
 */
export {EntryProcess} from './entry_process.js';
export {
  gatherSettings,
  SETTING_DESCRIPTIONS,
  environmentVariableName,
  type RawSettings,
  type SettingDescription,
  type SettingValidationError,
} from './setting_descriptions.js';
export {checkSettings, type Settings} from './settings.js';
