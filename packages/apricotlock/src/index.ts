/**
 * The process on each entry VM, put together from its parts.
 *
 * @packageDocumentation
 */
export {EntryProcess} from './entry_process.js';
export {
  checkSettings,
  gatherSettings,
  SETTING_DESCRIPTIONS,
  variableOf,
  type RawSettings,
  type SettingDescription,
  type SettingFault,
  type Settings,
} from './settings.js';
