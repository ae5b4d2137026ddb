import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Client} from 'pg';
import {expect} from 'chai';
import {TestAuthority, testPort} from '@apricotlock/testing';
import {SystemTimerService} from '@apricotlock/timer';
import {createLayout, PROFILES, SystemUnderTest} from '../src/index.js';

const BASE_PORT = testPort(800);

describe('a system with TLS on real processes', () => {
  const timer = SystemTimerService.create();
  const database = 'booking-ledger-1';
  let system: SystemUnderTest;
  let authority: TestAuthority;

  before(async () => {
    authority = await TestAuthority.create('apricotlock');
    const identity = await authority.issue('vm');
    const folder = mkdtempSync(join(tmpdir(), 'apricotlock-tls-'));
    const file = (name: string, text: string) => {
      writeFileSync(join(folder, name), text);
      return join(folder, name);
    };
    const certificate = file('certificate', identity.certificate);
    const privateKey = file('private-key', identity.privateKey);
    system = await SystemUnderTest.start(
      createLayout(PROFILES.bonanno, BASE_PORT),
      timer,
      {
        APRICOTLOCK_PEER_CERTIFICATE_FILE: certificate,
        APRICOTLOCK_PEER_PRIVATE_KEY_FILE: privateKey,
        APRICOTLOCK_PEER_AUTHORITY_FILE: file('authority', identity.authority),
        APRICOTLOCK_CALLER_CERTIFICATE_FILE: certificate,
        APRICOTLOCK_CALLER_PRIVATE_KEY_FILE: privateKey,
      },
    );
    const entries = system.catalogueEntries();
    await system.putFirstCatalogue(entries);
    await system.waitForDatabases();
  });

  after(() => system.stop());

  it('serves callers over TLS through every VM', async () => {
    for (const {callerAddress} of system.layout.machines) {
      const client = new Client({
        ...callerAddress,
        user: database,
        database,
        ssl: {ca: authority.certificate},
      });
      await client.connect();
      const {rows} = await client.query('SELECT 1 AS one');
      expect(rows).to.have.length(1);
      await client.end();
    }
  });
});
