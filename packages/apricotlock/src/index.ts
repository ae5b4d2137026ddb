/**
 * The process on each entry VM, put together from its parts.
 *
 * @packageDocumentation
 */
export {EntryProcess} from './entry_process.js';
export {
  gatherSettings,
  SETTING_DESCRIPTIONS,
  variableOf,
  type RawSettings,
  type SettingDescription,
  type SettingFault,
} from './setting_descriptions.js';
export {checkSettings, type Settings} from './settings.js';
