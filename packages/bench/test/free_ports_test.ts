import {expect} from 'chai';
import {createServer, Server} from 'node:net';
import {testPort} from '@apricotlock/testing';
import {
  findBasePort,
  createLayout,
  PROFILES,
  findOccupiedAddresses,
} from '../src/index.js';

const FIRST_PORT = testPort(3_200);
const SECOND_PORT = FIRST_PORT + 400;

describe('ports of a layout', () => {
  const createLayoutAt = (basePort: number) =>
    createLayout(PROFILES.bonanno, basePort);
  let other: Server;

  before(done => {
    const [machine] = createLayoutAt(FIRST_PORT).machines;
    other = createServer().listen(machine?.peerAddress, done);
  });

  after(done => {
    other.close(() => done());
  });

  it('are reported when another process uses them', async () => {
    const occupied = await findOccupiedAddresses(createLayoutAt(FIRST_PORT));
    expect(occupied).to.deep.equal([
      createLayoutAt(FIRST_PORT).machines[0]?.peerAddress,
    ]);
  });

  it('are searched until a candidate has only free ones', async () => {
    const candidates = [FIRST_PORT, SECOND_PORT];
    expect(await findBasePort(createLayoutAt, candidates)).to.equal(
      SECOND_PORT,
    );
    expect(await findBasePort(createLayoutAt, [FIRST_PORT])).to.equal(
      undefined,
    );
  });
});
