import {expect} from 'chai';
import {ClusterView, EMPTY_VIEW, Member} from '@apricotlock/topology';
import {memberTransitions} from '../src/index.js';

const ADDRESS = {host: '127.0.0.1', port: 1};

function member(name: string, state: Member['state'], incarnation = 1): Member {
  return {
    name,
    database: 'ledger',
    dataCentre: 'here',
    address: ADDRESS,
    apiAddress: ADDRESS,
    incarnation,
    state,
  };
}

function viewOf(...members: readonly Member[]): ClusterView {
  const group = {
    database: 'ledger',
    size: 3,
    term: 1,
    primary: undefined,
    members,
  };
  return {...EMPTY_VIEW, groups: [group]};
}

describe('memberTransitions', () => {
  it('names new members and those with another state or incarnation', () => {
    const before = viewOf(
      member('same', 'active'),
      member('leaves', 'active'),
      member('restarts', 'draining'),
    );
    const after = viewOf(
      member('same', 'active'),
      member('leaves', 'draining'),
      member('restarts', 'draining', 2),
      member('new', 'active'),
    );
    const transitions = memberTransitions(before, after).map(
      ({member: {name}, formerState}) => [name, formerState],
    );
    expect(transitions).to.deep.equal([
      ['leaves', 'active'],
      ['restarts', 'draining'],
      ['new', undefined],
    ]);
  });
});
