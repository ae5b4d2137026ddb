import {expect} from 'chai';
import {CallerAnswer, Statement} from '@apricotlock/statement';
import {
  BEGIN,
  organisation,
  READ,
  SessionBench,
  viewOf,
} from './support/session_bench.js';

const TRANSACTION_MILLISECONDS = 3_000;
const DRAIN_MILLISECONDS = 5_000;
/** The time limit of statements at the entry of these sessions. */
const STATEMENT_MILLISECONDS = 800;
const KEY = 'an example key';

/** Returns the kinds of the failures that a caller received, in order. */
function failuresOf({answers}: {readonly answers: readonly CallerAnswer[]}) {
  return answers.flatMap(answer =>
    answer.kind === 'failure' ? [answer.failure.kind] : [],
  );
}

/** Begins a session whose caller is identified only after some time. */
function beginIdentification() {
  const bench = new SessionBench([organisation('other', 'another key')]);
  bench.freshness.newer = viewOf(2, [organisation('one', KEY)]);
  const link = bench.begin(KEY);
  const [session] = bench.sessions;
  if (session === undefined) throw new Error('no session was begun');
  return {bench, link, session};
}

// Guards against a session that goes on after a stop has counted it as idle:
// what it passes on is cut by the end of the process.
describe('a session of a VM that stops', () => {
  describe('while its caller is identified', () => {
    it('answers a request that came together with the start-up message', async () => {
      const {bench, link, session} = beginIdentification();
      link.send(READ);
      await Promise.resolve();
      const drained = session.drain();
      expect(session.busy).to.equal(true);
      await bench.pass(20);
      await drained;
      expect(link.answers.map(({kind}) => kind)).to.deep.equal(['member']);
      expect(link.closed).to.equal(true);
    });

    it('is refused as not run if there is no request', async () => {
      const {bench, link, session} = beginIdentification();
      await Promise.resolve();
      void session.drain();
      await bench.pass(20);
      expect(link.accepted).to.equal(false);
      expect(link.rejection?.kind).to.equal('notRun');
    });
  });

  describe('once it was closed', () => {
    it('passes on no request that comes later', async () => {
      const bench = new SessionBench([organisation('one', KEY)]);
      const link = await bench.start(KEY);
      await bench.sessions[0]?.drain();
      expect(link.closed).to.equal(true);
      expect(await bench.ask(link)).to.equal('none');
      expect(bench.router.statements).to.deep.equal([]);
    });
  });

  describe('with several requests in one write', () => {
    it('answers all of them before it ends', async () => {
      const bench = new SessionBench([organisation('one', KEY)]);
      const link = await bench.start(KEY);
      for (let count = 0; count < 3; count++) link.send(READ);
      await bench.sessions[0]?.drain();
      await bench.pass(20);
      expect(link.answers).to.have.length(3);
      expect(link.closed).to.equal(true);
    });
  });

  // Guards against statements that are under way when the process ends.
  describe('near the end of its grace period', () => {
    /** A session in the state that the end of the limits finds it in. */
    async function beginDrain(statements: readonly Statement[]) {
      const bench = new SessionBench([organisation('one', KEY)]);
      const link = await bench.start(KEY);
      for (const statement of statements) await bench.ask(link, statement);
      const now = bench.timer.now();
      const [session] = bench.sessions;
      if (session === undefined) throw new Error('no session was begun');
      void session.drain({
        transactionsUntil: now + TRANSACTION_MILLISECONDS,
        endsAt: now + DRAIN_MILLISECONDS,
        lingersUntil: now + DRAIN_MILLISECONDS,
      });
      return {bench, link, session};
    }

    it('begins each statement of a transaction for as long as was promised', async () => {
      const {bench, link} = await beginDrain([BEGIN, READ]);
      await bench.pass(TRANSACTION_MILLISECONDS - 100);
      expect(await bench.ask(link)).to.equal('member');
      expect(link.closed).to.equal(false);
    });

    it('rolls back a transaction whose next statement could take too long', async () => {
      const {bench, link} = await beginDrain([BEGIN, READ]);
      await bench.pass(DRAIN_MILLISECONDS - STATEMENT_MILLISECONDS);
      expect(await bench.ask(link)).to.equal('rolledBack');
      expect(bench.router.continued).to.equal(0);
      expect(bench.router.endedTransactions).to.equal(1);
      expect(link.closed).to.equal(true);
    });

    it('answers what is in progress at the end as of unknown outcome', async () => {
      const {bench, link, session} = await beginDrain([BEGIN]);
      bench.router.silent = true;
      expect(await bench.ask(link)).to.equal('none');
      await session.abandon();
      expect(failuresOf(link)).to.deep.equal(['unknown']);
      expect(link.closed).to.equal(true);
    });

    it('answers what waits behind it as not run', async () => {
      const bench = new SessionBench([organisation('one', KEY)]);
      const link = await bench.start(KEY);
      bench.router.silent = true;
      link.send(READ);
      await bench.pass(20);
      link.send(READ);
      await bench.sessions[0]?.abandon();
      expect(failuresOf(link)).to.deep.equal(['unknown', 'notRun']);
    });

    it('refuses a start that is not confirmed as not run', async () => {
      const {bench, link, session} = beginIdentification();
      link.send(READ);
      await bench.pass(0);
      await session.abandon();
      expect(link.rejection?.kind).to.equal('notRun');
      expect(link.answers).to.deep.equal([]);
    });

    it('keeps its limits when an isolated VM closes idle sessions', async () => {
      const {bench, link, session} = await beginDrain([BEGIN, READ]);
      void session.drain();
      await bench.pass(DRAIN_MILLISECONDS - STATEMENT_MILLISECONDS);
      expect(await bench.ask(link)).to.equal('rolledBack');
    });
  });
});
