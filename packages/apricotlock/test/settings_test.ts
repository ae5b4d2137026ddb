import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {TestAuthority} from '@apricotlock/testing';
import {
  checkSettings,
  gatherSettings,
  RawSettings,
  SettingValidationError,
  Settings,
} from '../src/index.js';

const SECRET = 'a secret of sixteen characters or more';

describe('settings', () => {
  const folder = mkdtempSync(join(tmpdir(), 'apricotlock-settings-'));
  let good: RawSettings;

  const file = (name: string, text: string) => {
    const path = join(folder, name);
    writeFileSync(path, text);
    return path;
  };

  const check = (flags: RawSettings) =>
    checkSettings(gatherSettings({...good, ...flags}, {}));

  const invalidFlagsOf = (flags: RawSettings) =>
    (check(flags).swap().orDefault([]) as readonly SettingValidationError[])
      .map(({flag}) => flag)
      .sort();

  before(async () => {
    const authority = await TestAuthority.create('vms');
    const identity = await authority.issue('vm-1');
    const other = await authority.issue('vm-2');
    file('other-key', other.privateKey);
    good = {
      name: 'vm-1',
      'data-centre': 'catania',
      'caller-address': '127.0.0.1:1',
      'peer-address': '127.0.0.1:2',
      'operator-address': '127.0.0.1:3',
      'peer-key-file': file('peer-key', SECRET),
      'member-key-file': file('member-key', SECRET),
      'operator-token-file': file('token', `${SECRET} new\n${SECRET} old\n`),
      'peer-certificate-file': file('certificate', identity.certificate),
      'peer-private-key-file': file('private-key', identity.privateKey),
      'peer-authority-file': file('authority', identity.authority),
    };
  });

  describe('checkSettings', () => {
    it('accepts valid settings and reads the credential files', () => {
      const settings = check({}).unsafeCoerce() as Settings;
      const {operatorTokens, peerTls} = settings.credentials;
      expect(operatorTokens.current.current).to.equal(`${SECRET} new`);
      expect(operatorTokens.current.accepted).to.have.length(2);
      expect(peerTls.current?.certificate).to.include('BEGIN CERTIFICATE');
    });

    it('reports every invalid setting at once', () => {
      expect(
        invalidFlagsOf({
          name: 'Not A Name',
          'caller-address': 'nowhere',
          'drain-milliseconds': 'soon',
          'control-voter': 'true',
          'tolerated-disk-losses': '5',
          'tolerated-data-centre-losses': 'one',
          'peer-key-file': file('short', 'short'),
          'member-key-file': join(folder, 'missing'),
          'peer-private-key-file': join(folder, 'other-key'),
          'caller-certificate-file': good['peer-certificate-file'],
        }),
      ).to.deep.equal([
        '--caller-address',
        '--caller-certificate-file',
        '--data-folder',
        '--drain-milliseconds',
        '--initial-voters',
        '--member-key-file',
        '--name',
        '--peer-key-file',
        '--peer-private-key-file',
        '--tolerated-data-centre-losses',
        '--tolerated-disk-losses',
      ]);
    });

    it('takes the tolerated losses only if their number is set', () => {
      expect(check({}).unsafeCoerce().faultTolerance).to.equal(undefined);
      const {faultTolerance} = check({
        'tolerated-disk-losses': '2',
      }).unsafeCoerce();
      expect(faultTolerance).to.deep.equal({disks: 2, dataCentres: 1});
    });

    it('does not reveal the contents of a file in its errors', () => {
      const errors = check({'peer-key-file': file('bad', 'tiny secret')});
      expect(JSON.stringify(errors)).not.to.include('tiny');
    });
  });

  describe('reloading credentials', () => {
    it('loads changed files, but none of them if one is invalid', () => {
      const {credentials} = check({}).unsafeCoerce();
      expect(credentials.reload().extract()).to.equal(false);
      file('peer-key', `${SECRET} new\n${SECRET}`);
      expect(credentials.reload().extract()).to.equal(true);
      expect(credentials.peerKeys.current.current).to.equal(`${SECRET} new`);
      file('peer-key', `${SECRET} newest`);
      file('private-key', 'not a key');
      expect(credentials.reload().isLeft()).to.equal(true);
      expect(credentials.peerKeys.current.current).to.equal(`${SECRET} new`);
    });
  });
});
