import {expect} from 'chai';
import {
  assignedOwner,
  DatabaseGroup,
  Member,
  MemberState,
  VirtualMachine,
} from '../src/index.js';

const PLACES = ['catania', 'palermo', 'messina', 'siracusa'] as const;

function machines(count: number): readonly VirtualMachine[] {
  return Array.from({length: count}, (_, index) => {
    const host = `10.${index % 4}.0.${index}`;
    const address = {host, port: 7_720};
    return {
      name: `${host}:7720`,
      incarnation: 1,
      dataCentre: PLACES[index % 4] as string,
      peerAddress: address,
      operatorAddress: address,
      controlVoter: false,
      state: 'serving',
    };
  });
}

/** Six groups of three members each. */
function groups(prefix: string): readonly DatabaseGroup[] {
  return Array.from({length: 6}, (_, group) => ({
    database: `ledger-${group}`,
    size: 3,
    term: 1,
    primary: undefined,
    members: [0, 1, 2].map(index =>
      member(`i-${prefix}-${group}-${index}`, group * 3 + index),
    ),
  })) as unknown as readonly DatabaseGroup[];
}

function member(
  name: string,
  place: number,
  state: MemberState = 'active',
): Member {
  const address = {host: '10.9.0.1', port: 8_080};
  return {
    name,
    database: 'ledger',
    dataCentre: PLACES[place % 4] as string,
    address,
    apiAddress: address,
    incarnation: 1,
    state,
  };
}

function ownersOf(
  list: readonly DatabaseGroup[],
  vms: readonly VirtualMachine[],
): ReadonlyArray<VirtualMachine | undefined> {
  const members = list.flatMap(each => each.members);
  return members.map(({name}) => assignedOwner(list, vms, name));
}

describe('the owners of 18 members among 85 VMs', () => {
  // Guards against two busy members on the processor of one VM, which refuses
  // their reads while most VMs own no member.
  it('own one member each', () => {
    const vms = machines(85);
    for (let day = 0; day < 20; day++) {
      const owners = ownersOf(groups(`${day}`), vms);
      expect(new Set(owners).size).to.equal(18);
      expect(owners).not.to.include(undefined);
    }
  });

  it('are in the data centre of their member', () => {
    const vms = machines(85);
    const list = groups('x');
    for (const {name, dataCentre} of list.flatMap(each => each.members)) {
      const owner = assignedOwner(list, vms, name);
      expect(owner?.dataCentre).to.equal(dataCentre);
    }
  });

  it('remain but for a few when a VM or a member is lost', () => {
    const vms = machines(85);
    const list = groups('x');
    const before = ownersOf(list, vms);
    const lost = before[4];
    const without = ownersOf(
      list,
      vms.filter(each => each !== lost),
    );
    const changed = before.filter((owner, index) => owner !== without[index]);
    expect(changed.length).to.be.within(1, 3);
    const [first, ...others] = list;
    const fewer = ownersOf([...others], vms);
    const kept = before.slice(first?.members.length);
    expect(
      fewer.filter((owner, index) => owner !== kept[index]).length,
    ).to.be.at.most(2);
  });
});

describe('the owners of 18 members among 7 VMs', () => {
  it('own about the same number in each data centre', () => {
    const owners = ownersOf(groups('x'), machines(7));
    const counts = new Map<VirtualMachine | undefined, number>();
    for (const owner of owners) {
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    // Two VMs for the five members of three places, one for those of the last.
    expect(Math.max(...counts.values())).to.equal(4);
    expect(counts.size).to.equal(7);
  });
});
