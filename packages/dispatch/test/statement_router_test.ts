import {setImmediate} from 'node:timers/promises';
import {expect} from 'chai';
import {ServiceTerms} from '@apricotlock/topology';
import {WorkServerMessage} from '@apricotlock/work';
import {RouteOutcome} from '../src/index.js';
import {LOST, ReplayedGroup} from './support/replayed_group.js';

const TERMS: ServiceTerms = {
  consistency: 'readYourWrites',
  statementMilliseconds: 800,
  objectiveMilliseconds: 200,
  maximumStalenessMilliseconds: 2_500,
  priority: 2,
};
const OVERLOADED: WorkServerMessage = {
  kind: 'refused',
  refusal: {reason: 'overloaded', retryAfterMilliseconds: 300},
};
/** The announced wait is longer than any statement may wait. */
const FULL: WorkServerMessage = {
  kind: 'refused',
  refusal: {reason: 'overloaded', retryAfterMilliseconds: 600},
};

describe('StatementRouter', () => {
  let group: ReplayedGroup;

  /** Its members answer with the scripted messages, and then with refusals. */
  function createGroup(
    script: WorkServerMessage[],
    refusal = OVERLOADED,
  ): void {
    group = new ReplayedGroup(
      TERMS,
      async () => script.shift() ?? refusal,
      undefined,
      undefined,
      ['primary', 'replica'],
    );
  }

  /** Routes a read until it has an outcome. */
  async function read(script: WorkServerMessage[]): Promise<RouteOutcome> {
    createGroup(script);
    return (await group.read()).outcome;
  }

  it('tries all members within the objective before it waits for one longer', async () => {
    await read([]);
    const [first, second, third] = group.requests;
    expect(first?.waitMilliseconds).to.be.within(150, 200);
    expect(second?.waitMilliseconds).to.equal(first?.waitMilliseconds);
    expect(second?.member).not.to.equal(first?.member);
    expect(third?.waitMilliseconds).to.be.above(200);
  });

  it('reports a statement that no member ran as not run, with a retry time', async () => {
    const outcome = await read([]);
    if (outcome.kind !== 'notRun') throw new Error(`was ${outcome.kind}`);
    // The announced wait, and up to half of it to spread callers.
    expect(outcome.retryAfterMilliseconds).to.be.within(300, 450);
  });

  it('reports an unknown outcome once a member may have run the statement', async () => {
    const outcome = await read([LOST]);
    expect(outcome.kind).to.equal('unknown');
  });

  // A statement that is held during a failover would otherwise run for a
  // revoked key long after all VMs have learned of the revocation.
  it('sends a statement to no member once its key is revoked', async () => {
    createGroup([]);
    let revoked = false;
    const outcome = group.start({isPermitted: () => !revoked});
    while (group.requests.length === 0) await group.timer.advanceAsync(10);
    revoked = true;
    await group.timer.advanceAsync(1_000);
    expect((await outcome).kind).to.equal('notRun');
    expect(group.requests).to.have.length(1);
  });

  // It would otherwise be refused only when its time is over.
  it('refuses a statement that is held when its key is revoked at once', async () => {
    createGroup([]);
    let outcome: RouteOutcome | undefined;
    void group
      .start({isPermitted: () => false})
      .then(result => (outcome = result));
    // No time passes on the timer.
    await setImmediate();
    expect(outcome?.kind).to.equal('notRun');
    expect(group.requests).to.have.length(0);
  });

  it('asks overloaded members seldom, however many statements arrive', async () => {
    createGroup([], FULL);
    const arrivals = 100;
    let ended = 0;
    for (let count = 0; count < arrivals; count++) {
      void group.start().then(() => (ended += 1));
      await group.timer.advanceAsync(10);
    }
    while (ended < arrivals) await group.timer.advanceAsync(10);
    // Two members are asked for two seconds, each as soon as its announced wait
    // is not longer any more than what a statement may wait.
    expect(group.requests.length).to.be.at.most(60);
  });
});
