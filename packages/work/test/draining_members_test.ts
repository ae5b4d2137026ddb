import {expect} from 'chai';
import {ClusterView, EMPTY_VIEW, Member} from '@apricotlock/topology';
import {DrainingMembers} from '../src/index.js';
import {SeparateClocks} from './separate_clocks.js';

const ADDRESS = {host: '127.0.0.1', port: 1};

function memberIn(state: Member['state'], incarnation = 1): Member {
  return {
    name: 'm1',
    database: 'ledger',
    dataCentre: 'here',
    address: ADDRESS,
    apiAddress: ADDRESS,
    incarnation,
    state,
  };
}

function viewOf(member: Member): ClusterView {
  const group = {
    database: 'ledger',
    size: 3,
    term: 1,
    primary: undefined,
    members: [member],
  };
  return {...EMPTY_VIEW, groups: [group]};
}

describe('DrainingMembers', () => {
  const draining = memberIn('draining');
  let clocks: SeparateClocks;
  let members: DrainingMembers;

  beforeEach(() => {
    clocks = new SeparateClocks();
    members = DrainingMembers.create(clocks);
  });

  it('measures from the first view in which a member is draining', () => {
    members.update(viewOf(memberIn('active')));
    expect(members.drainingMilliseconds(draining)).to.equal(undefined);
    members.update(viewOf(draining));
    clocks.advance(300);
    members.update(viewOf(draining));
    expect(members.drainingMilliseconds(draining)).to.equal(300);
  });

  it('counts a suspension that stops only the monotonic clock', () => {
    members.update(viewOf(draining));
    clocks.wall += 4_000;
    expect(members.drainingMilliseconds(draining)).to.equal(4_000);
  });

  it('counts on when the wall clock is set back', () => {
    members.update(viewOf(draining));
    clocks.wall -= 4_000;
    clocks.monotonic += 500;
    expect(members.drainingMilliseconds(draining)).to.equal(500);
  });

  it('counts a restarted member anew', () => {
    members.update(viewOf(draining));
    members.update(viewOf(memberIn('active', 2)));
    expect(members.drainingMilliseconds(memberIn('active', 2))).to.equal(
      undefined,
    );
  });

  it('takes the time as infinite if it is unknown', () => {
    members.update(viewOf(draining));
    members.updateWithUnknownTimes(viewOf(draining));
    expect(members.drainingMilliseconds(draining)).to.equal(Infinity);
  });
});
