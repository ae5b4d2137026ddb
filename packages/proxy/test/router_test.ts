import {expect} from 'chai';
import {LeaseDown} from '@apricotlock/backend';
import {Observable} from '@apricotlock/flow';
import {SessionToken} from '@apricotlock/session';
import {SystemTimerService} from '@apricotlock/timer';
import {commandComplete, errorResponse, readyForQuery} from '@apricotlock/wire';
import {Router, RouteRequest} from '../src/router.js';
import {DEFAULT_SETTINGS} from '../src/session_settings.js';
import {ENTRY, FakeGate, FakeOwner, finished, VIEW} from './fake_gate.js';

const DONE = Buffer.concat([commandComplete('DONE'), readyForQuery('idle')]);
const READ_ONLY = Buffer.concat([
  errorResponse({severity: 'ERROR', code: '25006', message: 'read only'}),
  readyForQuery('idle'),
]);
const BEHIND: LeaseDown = {kind: 'refused', refusal: {kind: 'behind'}};
const LOST: LeaseDown = {kind: 'lost', sent: true};
const OVERLOADED: LeaseDown = {
  kind: 'refused',
  refusal: {kind: 'overloaded', retryAfterMilliseconds: 70},
};

describe('Router', () => {
  const timer = SystemTimerService.create();

  function over(owner: FakeOwner) {
    const gate = new FakeGate(owner);
    const view = Observable.of(VIEW);
    return {gate, router: Router.create('palermo', view, gate, timer)};
  }

  function asking(
    purpose: 'read' | 'write',
    more: Partial<RouteRequest> = {},
  ): RouteRequest {
    return {
      entry: ENTRY,
      session: 's',
      settings: {...DEFAULT_SETTINGS, token: SessionToken.of('holds', 1, 50n)},
      purpose,
      run: {bytes: Buffer.from('x'), answers: 1, reset: false},
      sink: async () => undefined,
      holding: () => undefined,
      ...more,
    };
  }

  describe('reads', () => {
    it('go to a replica of the same data centre', async () => {
      const {gate, router} = over(() => [finished(DONE)]);
      const outcome = await router.route(asking('read'));
      expect(outcome).to.include({kind: 'routed', servedBy: 'replica'});
      expect(gate.requests.map(({member}) => member)).to.deep.equal(['b']);
    });

    it('show at least what the session has seen', async () => {
      const {gate, router} = over(() => [finished(DONE)]);
      await router.route(asking('read'));
      expect(gate.requests[0]?.floor).to.deep.equal({term: 1, position: 50n});
    });

    it('without a token show what the primary holds now', async () => {
      const {gate, router} = over(() => [finished(DONE)]);
      await router.route(asking('read', {settings: DEFAULT_SETTINGS}));
      expect(gate.requests[0]?.floor).to.deep.equal({term: 1, position: 100n});
    });

    it('prefer a replica that need not be waited for', async () => {
      const {gate, router} = over(({member}) => [
        member === 'c' ? finished(DONE) : BEHIND,
      ]);
      await router.route(asking('read'));
      const tried = gate.requests.map(({member, floorWaitMilliseconds}) => [
        member,
        floorWaitMilliseconds,
      ]);
      expect(tried).to.deep.equal([
        ['b', 0],
        ['c', 0],
      ]);
    });

    it('wait for a replica, but not again for one in vain', async () => {
      const {gate, router} = over(({member}) => [
        member === 'a' ? finished(DONE) : BEHIND,
      ]);
      const first = await router.route(asking('read'));
      expect(first).to.include({kind: 'routed', servedBy: 'primary'});
      const waited = gate.requests.filter(
        ({floorWaitMilliseconds}) => floorWaitMilliseconds > 0,
      );
      expect(waited.length).to.equal(2);
      await router.route(asking('read'));
      const waitedLater = gate.requests.filter(
        ({floorWaitMilliseconds}) => floorWaitMilliseconds > 0,
      );
      expect(waitedLater.length).to.equal(2);
    });

    it('that turn out to be writes go to the primary', async () => {
      const {gate, router} = over(({member}) => [
        finished(member === 'a' ? DONE : READ_ONLY),
      ]);
      const outcome = await router.route(asking('read'));
      expect(outcome).to.include({kind: 'routed', servedBy: 'primary'});
      const last = gate.requests[gate.requests.length - 1];
      expect(last).to.include({member: 'a', purpose: 'write'});
    });

    it('whose answers are lost are not repeated for ever', async () => {
      const {gate, router} = over(() => [LOST]);
      const outcome = await router.route(asking('read'));
      expect(outcome).to.include({kind: 'notRouted'});
      expect(gate.requests.length).to.equal(3);
    });

    it('go on to the next member when one is cut off', async () => {
      const {gate, router} = over(({member, floorWaitMilliseconds}) => {
        if (member !== 'b') return [LOST];
        return [floorWaitMilliseconds > 0 ? finished(DONE) : BEHIND];
      });
      const outcome = await router.route(asking('read'));
      expect(outcome).to.include({kind: 'routed', servedBy: 'replica'});
      expect(gate.requests.map(({member}) => member)).to.deep.equal([
        'b',
        'c',
        'b',
      ]);
    });

    it('that were told in part are not repeated', async () => {
      const part: LeaseDown = {kind: 'answer', bytes: DONE, confirmed: true};
      const told: Buffer[] = [];
      const {gate, router} = over(() => [part, LOST]);
      const outcome = await router.route(
        asking('read', {
          sink: async bytes => {
            told.push(bytes);
          },
        }),
      );
      expect(outcome).to.have.nested.property('failure.kind', 'cutShort');
      expect(told.length).to.equal(1);
      expect(gate.requests.length).to.equal(1);
    });
  });

  describe('writes', () => {
    it('whose answer is lost are never sent again', async () => {
      const {gate, router} = over(() => [LOST]);
      const outcome = await router.route(asking('write'));
      expect(outcome).to.have.nested.property('failure.kind', 'unknown');
      expect(gate.requests.length).to.equal(1);
    });

    it('that are not confirmed are unknown', async () => {
      const {router} = over(() => [finished(DONE, {confirmed: false})]);
      const outcome = await router.route(asking('write'));
      expect(outcome).to.have.nested.property('failure.kind', 'unknown');
    });

    it('are refused at once when too many wait, with a hint', async () => {
      const {gate, router} = over(() => [OVERLOADED]);
      const outcome = await router.route(asking('write'));
      expect(outcome).to.deep.include({
        kind: 'notRouted',
        failure: {
          kind: 'notRun',
          reason: 'too many requests are waiting',
          retryAfterMilliseconds: 70,
        },
      });
      expect(gate.requests.length).to.equal(1);
    });

    it('have only what is left of their time when tried again', async () => {
      const wrongTerm: LeaseDown = {
        kind: 'refused',
        refusal: {kind: 'wrongTerm'},
      };
      const {gate, router} = over(() => [wrongTerm]);
      const start = timer.now();
      const outcome = await router.route(asking('write'));
      expect(outcome).to.have.nested.property('failure.kind', 'notRun');
      expect(timer.now() - start).to.be.lessThan(2_000);
      const waits = gate.requests.map(
        ({queueMilliseconds}) => queueMilliseconds,
      );
      expect(waits).to.deep.equal([...waits].sort((a, b) => b - a));
      expect(waits[waits.length - 1]).to.be.lessThan(waits[0] as number);
    });
  });
});
