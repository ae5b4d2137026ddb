import {expect} from 'chai';
import {ownerOf, ownerRanking, VirtualMachine} from '../src/index.js';

function machine(name: string, dataCentre: string): VirtualMachine {
  const address = {host: '127.0.0.1', port: 1};
  return {
    name,
    incarnation: 1,
    dataCentre,
    peerAddress: address,
    operatorAddress: address,
    controlVoter: false,
    state: 'serving',
  };
}

describe('ownerOf', () => {
  const machines = [
    machine('vm-1', 'catania'),
    machine('vm-2', 'catania'),
    machine('vm-3', 'palermo'),
  ];

  it('returns a VM in the data centre of the member', () => {
    for (const member of ['a', 'b', 'c', 'd']) {
      const owner = ownerOf(member, 'palermo', machines);
      expect(owner?.name).to.equal('vm-3');
    }
  });

  it('uses another data centre if that of the member has no VM', () => {
    expect(ownerOf('a', 'messina', machines)).to.not.equal(undefined);
  });

  it('changes only the owners of members that a lost VM owned', () => {
    const names = Array.from({length: 200}, (_, index) => `member-${index}`);
    const remaining = machines.filter(each => each.name !== 'vm-1');
    for (const name of names) {
      const before = ownerOf(name, 'catania', machines);
      if (before?.name === 'vm-1') continue;
      expect(ownerOf(name, 'catania', remaining)).to.deep.equal(before);
    }
  });
});

describe('ownerRanking', () => {
  const machines = ['vm-1', 'vm-2', 'vm-3', 'vm-4'].map(name =>
    machine(name, 'catania'),
  );

  it('ranks second the VM that owns the member once the first is lost', () => {
    for (let index = 0; index < 50; index++) {
      const name = `member-${index}`;
      const [first, second] = ownerRanking(name, 'catania', machines, 2);
      const remaining = machines.filter(each => each !== first);
      expect(ownerOf(name, 'catania', remaining)).to.equal(second);
    }
  });

  it('leaves out draining VMs', () => {
    const draining = machines.map(each => ({
      ...each,
      state: each.name === 'vm-4' ? ('serving' as const) : 'draining',
    })) as readonly VirtualMachine[];
    const ranking = ownerRanking('member', 'catania', draining, 3);
    expect(ranking.map(({name}) => name)).to.deep.equal(['vm-4']);
  });
});
