import {expect} from 'chai';
import {createServer, Server} from 'node:net';
import {testPort} from '@apricotlock/testing';
import {findBasePort, layOut, PROFILES, takenAddresses} from '../src/index.js';

const FIRST_PORT = testPort(3_200);
const SECOND_PORT = FIRST_PORT + 400;

describe('ports of a layout', () => {
  const layOutAt = (basePort: number) => layOut(PROFILES.bonanno, basePort);
  let other: Server;

  before(done => {
    const [machine] = layOutAt(FIRST_PORT).machines;
    other = createServer().listen(machine?.peerAddress, done);
  });

  after(done => {
    other.close(() => done());
  });

  it('are named where another process has them', async () => {
    const taken = await takenAddresses(layOutAt(FIRST_PORT));
    expect(taken).to.deep.equal([
      layOutAt(FIRST_PORT).machines[0]?.peerAddress,
    ]);
  });

  it('are looked for until all are free', async () => {
    const candidates = [FIRST_PORT, SECOND_PORT];
    expect(await findBasePort(layOutAt, candidates)).to.equal(SECOND_PORT);
    expect(await findBasePort(layOutAt, [FIRST_PORT])).to.equal(undefined);
  });
});
