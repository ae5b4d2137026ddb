import {expect} from 'chai';
import {
  organisation,
  READ,
  SessionBench,
  viewOf,
} from './support/session_bench.js';

const KEY = 'an example key';

/** Begins a session whose caller is identified only after some time. */
function beginIdentification() {
  const bench = new SessionBench([]);
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
});
