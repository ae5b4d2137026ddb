import {expect} from 'chai';
import {Logger, LogOutput} from '@apricotlock/logging';
import {
  BEGIN,
  OPEN,
  organisation,
  SessionBench,
  viewOf,
} from './support/session_bench.js';

const ACME = organisation('acme', 'key-a');
const ZETA = organisation('zeta', 'key-z');
/** The organisations after the key of acme was revoked. */
const REVOKED = [organisation('acme'), ZETA];

describe('the identity of a caller', () => {
  describe('at the start of a session', () => {
    // Clients of the platform send any word as their identity.
    it('may be any word, or none, if there are no organisations', async () => {
      for (const organisations of [undefined, []]) {
        const bench = new SessionBench(organisations);
        for (const credential of ['test', undefined]) {
          const link = await bench.start(credential);
          expect(await bench.ask(link)).to.equal('member');
        }
        expect(bench.router.statements[0]?.organisation).to.equal(undefined);
        expect(bench.quota.acquired).to.deep.equal([]);
        expect(bench.freshness.refreshes).to.equal(0);
      }
    });

    it('is the organisation of the key', async () => {
      const bench = new SessionBench([ACME, ZETA]);
      const link = await bench.start('key-z');
      expect(await bench.ask(link)).to.equal('member');
      expect(bench.router.statements[0]?.organisation).to.equal(ZETA);
    });

    for (const credential of ['wrong', '', 'acme', undefined]) {
      it(`is refused with ${credential ?? 'no'} key`, async () => {
        const bench = new SessionBench([ACME]);
        const link = await bench.start(credential);
        expect(link.accepted).to.equal(false);
        expect(link.rejection).to.deep.equal({kind: 'unauthenticated'});
        expect(bench.observer.failures).to.deep.equal(['unauthenticated']);
      });
    }

    it('needs no key at an entry that allows it', async () => {
      const bench = new SessionBench([ACME]);
      const link = await bench.start('wrong', OPEN);
      expect(await bench.ask(link)).to.equal('member');
      const identified = await bench.start('key-a', OPEN);
      await bench.ask(identified);
      const served = bench.router.statements.map(each => each.organisation);
      expect(served).to.deep.equal([undefined, ACME]);
    });
  });

  describe('with a key that this VM does not know yet', () => {
    it('is accepted after a newer view was fetched', async () => {
      const bench = new SessionBench([ZETA]);
      bench.freshness.newer = viewOf(2, [ACME, ZETA]);
      const link = await bench.start('key-a');
      expect(link.accepted).to.equal(true);
    });

    it('is refused after 500 ms if no newer view can be fetched', async () => {
      const bench = new SessionBench([ZETA]);
      bench.freshness.latencyMilliseconds = 5_000;
      const link = await bench.start('key-a');
      await bench.pass(470);
      expect(link.rejection).to.equal(undefined);
      await bench.pass(20);
      expect(link.rejection).to.deep.equal({kind: 'unauthenticated'});
    });
  });

  // A restarted VM may have received an old view, in which the key is valid.
  describe('on a VM whose view no quorum has confirmed', () => {
    it('is not accepted for a key that is no longer valid', async () => {
      const bench = new SessionBench([ACME, ZETA]);
      bench.freshness.ageMilliseconds = Infinity;
      bench.freshness.newer = viewOf(2, REVOKED);
      const link = await bench.start('key-a');
      expect(link.rejection).to.deep.equal({kind: 'unauthenticated'});
    });

    it('is answered with a refusal that says when to retry', async () => {
      const bench = new SessionBench([ACME]);
      bench.freshness.ageMilliseconds = Infinity;
      const link = await bench.start('key-a');
      expect(link.accepted).to.equal(false);
      expect(link.rejection).to.include({kind: 'notRun'});
    });
  });

  // Requests that arrive while a VM is suspended are read before the views that
  // it has missed.
  describe('on a VM that was frozen', () => {
    it('is checked against a newer view', async () => {
      const bench = new SessionBench([ACME, ZETA]);
      const link = await bench.start('key-a');
      const inTransaction = await bench.start('key-a');
      await bench.ask(inTransaction, BEGIN);
      await bench.ask(inTransaction);
      bench.freshness.ageMilliseconds = 5_000;
      bench.freshness.newer = viewOf(2, REVOKED);
      expect(await bench.ask(link)).to.equal('unauthenticated');
      await bench.pass(1_000);
      expect(await bench.ask(inTransaction)).to.equal('rolledBack');
    });

    it('waits once only if control cannot be reached', async () => {
      const bench = new SessionBench([ACME, ZETA]);
      const link = await bench.start('key-a');
      bench.freshness.ageMilliseconds = 5_000;
      bench.freshness.latencyMilliseconds = 5_000;
      expect(await bench.ask(link)).to.equal('none');
      await bench.pass(500);
      expect(link.answers).to.have.length(1);
      expect(await bench.ask(link)).to.equal('member');
      expect(bench.freshness.refreshes).to.equal(1);
    });
  });

  describe('whose key is revoked', () => {
    it('ends an open session at its next operation', async () => {
      const bench = new SessionBench([ACME, ZETA]);
      const link = await bench.start('key-a');
      const other = await bench.start('key-z');
      expect(await bench.ask(link)).to.equal('member');
      bench.view.set(viewOf(2, REVOKED));
      expect(await bench.ask(link)).to.equal('unauthenticated');
      expect(link.closed).to.equal(true);
      expect(bench.router.statements).to.have.length(1);
      expect(await bench.ask(other)).to.equal('member');
    });

    it('is refused for statements that need no member, too', async () => {
      const bench = new SessionBench([ACME, ZETA]);
      const link = await bench.start('key-a');
      bench.view.set(viewOf(2, REVOKED));
      expect(await bench.ask(link, BEGIN)).to.equal('unauthenticated');
    });

    it('does not start the transaction that it has begun', async () => {
      const bench = new SessionBench([ACME, ZETA]);
      const link = await bench.start('key-a');
      await bench.ask(link, BEGIN);
      bench.view.set(viewOf(2, REVOKED));
      expect(await bench.ask(link)).to.equal('unauthenticated');
      expect(bench.router.statements).to.have.length(0);
    });

    it('becomes anonymous at an entry that needs no key', async () => {
      const bench = new SessionBench([ACME, ZETA]);
      const link = await bench.start('key-a', OPEN);
      bench.view.set(viewOf(2, REVOKED));
      expect(await bench.ask(link)).to.equal('member');
      expect(bench.router.statements[0]?.organisation).to.equal(undefined);
    });

    it('may continue an open transaction for one second', async () => {
      const bench = new SessionBench([ACME, ZETA]);
      const link = await bench.start('key-a');
      await bench.ask(link, BEGIN);
      await bench.ask(link);
      bench.view.set(viewOf(2, REVOKED));
      await bench.pass(900);
      expect(await bench.ask(link)).to.equal('member');
      await bench.pass(100);
      expect(await bench.ask(link)).to.equal('rolledBack');
      expect(bench.router.continued).to.equal(1);
      expect(bench.router.endedTransactions).to.equal(1);
      expect(await bench.ask(link)).to.equal('unauthenticated');
      expect(link.closed).to.equal(true);
    });

    // The entry serves the caller without a key, but no longer in the name of
    // the organisation, for which its connection to the member was opened.
    for (const [change, organisations] of [
      ['at an entry that needs no key', REVOKED],
      [
        'if another organisation has the key',
        [organisation('acme'), organisation('zeta', 'key-z', 'key-a')],
      ],
    ] as const) {
      it(`may continue no longer ${change}`, async () => {
        const bench = new SessionBench([ACME, ZETA]);
        const link = await bench.start('key-a', OPEN);
        await bench.ask(link, BEGIN);
        await bench.ask(link);
        bench.view.set(viewOf(2, organisations));
        await bench.pass(900);
        expect(await bench.ask(link)).to.equal('member');
        await bench.pass(100);
        expect(await bench.ask(link)).to.equal('rolledBack');
        expect(await bench.ask(link)).to.equal('member');
      });
    }

    it('may continue a transaction that was begun for no organisation', async () => {
      const bench = new SessionBench();
      const link = await bench.start('key-a');
      await bench.ask(link, BEGIN);
      await bench.ask(link);
      bench.view.set(viewOf(2, [ACME]));
      await bench.pass(2_000);
      expect(await bench.ask(link)).to.equal('member');
    });

    // The second counts from when this VM learned of the revocation, which a
    // later change of the catalogue must not extend.
    it('gets no further time by a later change', async () => {
      const bench = new SessionBench([ACME, ZETA]);
      const link = await bench.start('key-a');
      await bench.ask(link, BEGIN);
      await bench.ask(link);
      bench.view.set(viewOf(2, REVOKED));
      await bench.pass(900);
      bench.view.set(viewOf(3, [ZETA]));
      await bench.pass(110);
      expect(await bench.ask(link)).to.equal('rolledBack');
    });
  });

  // Guards against a connection to the member that stays in use for as long as
  // the channel of the work is open.
  it('has its transaction ended if its session ends with an exception', async () => {
    const bench = new SessionBench([ACME]);
    const link = await bench.start('key-a');
    await bench.ask(link, BEGIN);
    await bench.ask(link);
    link.answer = () => {
      throw new Error('broken');
    };
    await bench.ask(link);
    expect(bench.crashes).to.have.length(1);
    expect(bench.router.endedTransactions).to.equal(1);
  });

  it('appears in the log by the name of the organisation, never by key', async () => {
    const lines: string[] = [];
    const output = {
      writeLine: (line: string) => lines.push(line),
      flush: () => undefined,
    } as unknown as LogOutput;
    const bench = new SessionBench(
      [ACME, ZETA],
      Logger.create('json', 4, output),
    );
    await bench.start('key-wrong');
    const link = await bench.start('key-a');
    bench.router.refusal = {
      kind: 'notRun',
      reason: 'overloaded',
      retryAfterMilliseconds: 9,
    };
    await bench.ask(link);
    bench.view.set(viewOf(2, REVOKED));
    await bench.ask(link);
    const text = lines.join('\n');
    expect(text).to.include('"organisation":"acme"');
    expect(text).to.include('unauthenticated');
    for (const secret of ['key-', ...ACME.keyDigests]) {
      expect(text).to.not.include(secret);
    }
  });
});
