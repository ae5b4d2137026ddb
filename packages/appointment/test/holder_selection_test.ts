import {expect} from 'chai';
import {Either, Left, Right} from 'purify-ts';
import {PeerCall, PeerError, SilentPeerNetwork} from '@apricotlock/peer';
import {
  Address,
  DatabaseGroup,
  Member,
  VirtualMachine,
} from '@apricotlock/topology';
import {holderRanking, selectLeaseHolder} from '../src/holder_selection.js';

/** Answers only calls to the ports in a set. */
class PartitionedNetwork extends SilentPeerNetwork {
  readonly called: number[] = [];

  constructor(private readonly reachablePorts: ReadonlySet<number>) {
    super();
  }

  override async call<Request, Answer>(
    {port}: Address,
    _call: PeerCall<Request, Answer>,
  ): Promise<Either<PeerError, Answer>> {
    this.called.push(port);
    if (this.reachablePorts.has(port)) return Right({alive: true} as Answer);
    return Left({kind: 'noAnswer', reason: 'no answer within the timeout'});
  }
}

function machine(port: number, dataCentre: string): VirtualMachine {
  const address = {host: '127.0.0.1', port};
  return {
    name: `entry-${port}`,
    incarnation: 1,
    dataCentre,
    peerAddress: address,
    operatorAddress: address,
    controlVoter: false,
    state: 'serving',
  };
}

const PRIMARY: Member = {
  name: 'i-1',
  database: 'ledger',
  dataCentre: 'catania',
  address: {host: '127.0.0.1', port: 900},
  apiAddress: {host: '127.0.0.1', port: 900},
  incarnation: 1,
  state: 'active',
};

describe('the selection of a lease holder', () => {
  const machines = Array.from({length: 24}, (_, index) =>
    machine(index + 1, index % 2 === 0 ? 'catania' : 'palermo'),
  );
  const ranking = holderRanking(PRIMARY, machines, []);
  const portsOf = (selected: readonly VirtualMachine[]) =>
    new Set(selected.map(({peerAddress}) => peerAddress.port));

  it('prefers the VMs in the data centre of the primary', () => {
    const dataCentres = ranking.map(({dataCentre}) => dataCentre);
    const firstRemote = dataCentres.indexOf('palermo');
    expect(firstRemote).to.equal(8);
    expect(dataCentres.slice(firstRemote)).not.to.include('catania');
  });

  // Guards against one VM that runs the work of several primaries.
  it('prefers a VM that owns no other member', () => {
    for (let first = 0; first < 20; first++) {
      const named = [0, 1, 2].map(index => ({
        ...PRIMARY,
        name: `i-${first}-${index}`,
      }));
      const groups = [{database: 'ledger', size: 3, term: 1, members: named}];
      const firsts = named.map(
        each =>
          holderRanking(
            each,
            machines,
            groups as unknown as readonly DatabaseGroup[],
          )[0],
      );
      expect(new Set(firsts).size).to.equal(3);
    }
  });

  it('takes the preferred VM if it answers', async () => {
    const network = new PartitionedNetwork(portsOf(machines));
    expect(await selectLeaseHolder(ranking, network)).to.equal(ranking[0]);
  });

  it('takes no VM that is partitioned from control', async () => {
    const reachable = ranking.slice(3);
    const network = new PartitionedNetwork(portsOf(reachable));
    expect(await selectLeaseHolder(ranking, network)).to.equal(ranking[3]);
  });

  it('takes a VM elsewhere if none in the data centre answers', async () => {
    const reachable = machines.filter(each => each.dataCentre === 'palermo');
    const network = new PartitionedNetwork(portsOf(reachable));
    const selected = await selectLeaseHolder(ranking, network);
    expect(selected?.dataCentre).to.equal('palermo');
  });

  it('takes the preferred VM if none answers', async () => {
    const network = new PartitionedNetwork(new Set());
    expect(await selectLeaseHolder(ranking, network)).to.equal(ranking[0]);
    expect(network.called).to.have.length(ranking.length);
  });

  it('returns nothing without any VM', async () => {
    const network = new PartitionedNetwork(new Set());
    expect(await selectLeaseHolder([], network)).to.equal(undefined);
  });
});
