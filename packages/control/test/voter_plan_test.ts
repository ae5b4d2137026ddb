import {expect} from 'chai';
import fc from 'fast-check';
import {VirtualMachine} from '@apricotlock/topology';
import {
  ControlConfiguration,
  ControlMember,
  quorumOf,
  votersOf,
  withControlMember,
} from '../src/control_configuration.js';
import {nextVoterStep, VoterSituation} from '../src/voter_plan.js';

const SEED = 20_261_204;
const MAXIMUM_STEPS = 60;
const DATA_CENTRES = ['catania', 'palermo', 'messina', 'siracusa'];

function machine(number: number): VirtualMachine {
  const address = {host: '127.0.0.1', port: number};
  return {
    name: `vm-${number}`,
    incarnation: 1,
    dataCentre: DATA_CENTRES[number % DATA_CENTRES.length] as string,
    peerAddress: address,
    operatorAddress: address,
    controlVoter: true,
    state: 'serving',
  };
}

function memberOn(
  {name, dataCentre, peerAddress: address}: VirtualMachine,
  role: ControlMember['role'],
): ControlMember {
  return {name, diskId: `disk of ${name}`, dataCentre, address, role};
}

function situation(overrides: Partial<VoterSituation>): VoterSituation {
  return {
    configuration: {members: []},
    leaderDiskId: 'disk of vm-0',
    targetVoterCount: 5,
    maximumPerDataCentre: 2,
    lostDiskIds: new Set(),
    caughtUpDiskIds: new Set(),
    controlMachines: [],
    ...overrides,
  };
}

function votersOn(...numbers: readonly number[]): ControlConfiguration {
  return {members: numbers.map(each => memberOn(machine(each), 'voter'))};
}

/** Counts the voters that answer. */
function liveVoters({configuration, lostDiskIds}: VoterSituation): number {
  return votersOf(configuration).filter(({diskId}) => !lostDiskIds.has(diskId))
    .length;
}

/** Takes steps until there is none, with learners that catch up at once. */
function settle(start: VoterSituation): readonly VoterSituation[] {
  const passed = [start];
  for (let count = 0; count < MAXIMUM_STEPS; count++) {
    const current = passed[passed.length - 1] as VoterSituation;
    const step = nextVoterStep(current);
    if (step === undefined) return passed;
    if (step.kind === 'change') {
      const {configuration} = step;
      passed.push({...current, configuration});
      continue;
    }
    const [candidate] = step.candidates;
    if (candidate === undefined) return passed;
    const learner = {
      ...memberOn(candidate, 'learner'),
      diskId: `disk ${count} of ${candidate.name}`,
    };
    passed.push({
      ...current,
      configuration: withControlMember(current.configuration, learner),
      caughtUpDiskIds: new Set([...current.caughtUpDiskIds, learner.diskId]),
    });
  }
  throw new Error('the steps do not end');
}

describe('nextVoterStep', () => {
  const machines = [0, 1, 2, 3, 4, 5, 6, 7].map(machine);

  it('adds voters in other data centres until there are enough', () => {
    const start = situation({
      configuration: votersOn(0, 1, 2),
      controlMachines: machines,
    });
    const [, recruited] = settle(start);
    expect(recruited?.configuration.members[3]).to.include({
      name: 'vm-3',
      role: 'learner',
    });
    const last = settle(start).at(-1) as VoterSituation;
    expect(votersOf(last.configuration)).to.have.length(5);
  });

  it('does nothing while all is as required', () => {
    const step = nextVoterStep(
      situation({
        configuration: votersOn(0, 1, 2, 3, 4),
        controlMachines: machines,
      }),
    );
    expect(step).to.equal(undefined);
  });

  it('moves a voter out of a data centre that has too many', () => {
    const start = situation({
      configuration: votersOn(0, 4, 8, 1, 2),
      controlMachines: [...machines, machine(8)],
    });
    const last = settle(start).at(-1) as VoterSituation;
    const voters = votersOf(last.configuration);
    const inCatania = voters.filter(each => each.dataCentre === 'catania');
    expect(voters).to.have.length(5);
    expect(inCatania).to.have.length(2);
    expect(inCatania.map(({name}) => name)).to.include('vm-0');
  });

  it('never costs the quorum, ends, and replaces what is lost', () => {
    fc.assert(
      fc.property(
        fc.uniqueArray(fc.nat(11), {minLength: 3, maxLength: 5}),
        fc.array(fc.nat(4), {maxLength: 2}),
        fc.uniqueArray(fc.nat(11), {minLength: 6}),
        (voters, lostAt, live) => {
          const configuration = votersOn(...voters);
          const lost = lostAt.map(index => voters[1 + (index % 2)] as number);
          const lostDiskIds = new Set(
            lost.map(number => `disk of vm-${number}`),
          );
          const start = situation({
            configuration,
            leaderDiskId: `disk of vm-${voters[0] as number}`,
            lostDiskIds,
            controlMachines: live.map(machine),
          });
          const hadQuorum = liveVoters(start) >= quorumOf(configuration);
          fc.pre(hadQuorum);
          const passed = settle(start);
          for (const each of passed) {
            const quorum = quorumOf(each.configuration);
            expect(liveVoters(each)).to.be.at.least(quorum);
          }
          const last = passed[passed.length - 1] as VoterSituation;
          const names = votersOf(last.configuration).map(({name}) => name);
          const spares = live.filter(each => !names.includes(`vm-${each}`));
          expect(liveVoters(last) === 5 || spares.length === 0).to.equal(true);
        },
      ),
      {seed: SEED, numRuns: 2_000},
    );
  });
});
