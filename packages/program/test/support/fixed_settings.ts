import {Either, Right} from 'purify-ts';
import {
  ProgramSettings,
  SettingsError,
  SettingsSource,
} from '../../src/index.js';

const ADDRESS = {host: '127.0.0.1', port: 1};

/** Settings of a VM that neither callers nor operators reach. */
export const SETTINGS: ProgramSettings = {
  node: 'vm-1',
  dataCentre: 'here',
  peerAddress: ADDRESS,
  metricsAddress: ADDRESS,
  callerAddress: undefined,
  readyAddress: undefined,
  controlAddress: undefined,
  seeds: [ADDRESS],
  firstStart: false,
  dataFolder: undefined,
  promotionAddress: undefined,
  drainMilliseconds: 7_000,
  faultTolerance: {disks: 1, dataCentres: 1},
  graceMilliseconds: 6_000,
};

/** A settings source whose settings never change. */
export class FixedSettingsSource extends SettingsSource {
  override readonly description = 'a test';

  override load(): Either<SettingsError, ProgramSettings> {
    return Right(SETTINGS);
  }

  override modifiedAt(): number {
    return 1;
  }
}
