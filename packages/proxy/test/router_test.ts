import {expect} from 'chai';
import {LeaseOwnerMessage} from '@apricotlock/backend';
import {Observable} from '@apricotlock/flow';
import {SessionToken} from '@apricotlock/session';
import {SystemTimerService} from '@apricotlock/timer';
import {commandComplete, errorResponse, readyForQuery} from '@apricotlock/wire';
import {Router, RouteRequest} from '../src/router.js';
import {DEFAULT_SETTINGS} from '../src/session_settings.js';
import {
  ENTRY,
  FakeLeaseClient,
  FakeOwner,
  finished,
  VIEW,
} from './fake_lease_client.js';

const DONE = Buffer.concat([commandComplete('DONE'), readyForQuery('idle')]);
const READ_ONLY_ERROR = Buffer.concat([
  errorResponse({severity: 'ERROR', code: '25006', message: 'read only'}),
  readyForQuery('idle'),
]);
const BEHIND: LeaseOwnerMessage = {kind: 'refused', refusal: {kind: 'behind'}};
const LOST: LeaseOwnerMessage = {kind: 'lost', sent: true};
const OVERLOADED: LeaseOwnerMessage = {
  kind: 'refused',
  refusal: {kind: 'overloaded', retryAfterMilliseconds: 70},
};

describe('Router', () => {
  const timer = SystemTimerService.create();

  function createRouter(owner: FakeOwner) {
    const leaseClient = new FakeLeaseClient(owner);
    const view = Observable.of(VIEW);
    return {
      leaseClient,
      router: Router.create('palermo', view, leaseClient, timer),
    };
  }

  function routeRequest(
    purpose: 'read' | 'write',
    overrides: Partial<RouteRequest> = {},
  ): RouteRequest {
    return {
      entry: ENTRY,
      session: 's',
      settings: {...DEFAULT_SETTINGS, token: SessionToken.of('holds', 1, 50n)},
      purpose,
      run: {bytes: Buffer.from('x'), answers: 1, reset: false},
      sink: async () => undefined,
      onLease: () => undefined,
      ...overrides,
    };
  }

  describe('reads', () => {
    it('use a replica in the same data centre', async () => {
      const {leaseClient, router} = createRouter(() => [finished(DONE)]);
      const outcome = await router.route(routeRequest('read'));
      expect(outcome).to.include({kind: 'routed', servedBy: 'replica'});
      expect(leaseClient.requests.map(({member}) => member)).to.deep.equal([
        'b',
      ]);
    });

    it('require at least the position of the session token', async () => {
      const {leaseClient, router} = createRouter(() => [finished(DONE)]);
      await router.route(routeRequest('read'));
      expect(leaseClient.requests[0]?.floor).to.deep.equal({
        term: 1,
        position: 50n,
      });
    });

    it('without a token require the position of the primary', async () => {
      const {leaseClient, router} = createRouter(() => [finished(DONE)]);
      await router.route(routeRequest('read', {settings: DEFAULT_SETTINGS}));
      expect(leaseClient.requests[0]?.floor).to.deep.equal({
        term: 1,
        position: 100n,
      });
    });

    it('prefer a replica that does not have to catch up first', async () => {
      const {leaseClient, router} = createRouter(({member}) => [
        member === 'c' ? finished(DONE) : BEHIND,
      ]);
      await router.route(routeRequest('read'));
      const tried = leaseClient.requests.map(
        ({member, floorWaitMilliseconds}) => [member, floorWaitMilliseconds],
      );
      expect(tried).to.deep.equal([
        ['b', 0],
        ['c', 0],
      ]);
    });

    it('do not wait again for a replica that did not catch up', async () => {
      const {leaseClient, router} = createRouter(({member}) => [
        member === 'a' ? finished(DONE) : BEHIND,
      ]);
      const first = await router.route(routeRequest('read'));
      expect(first).to.include({kind: 'routed', servedBy: 'primary'});
      const waited = leaseClient.requests.filter(
        ({floorWaitMilliseconds}) => floorWaitMilliseconds > 0,
      );
      expect(waited.length).to.equal(2);
      await router.route(routeRequest('read'));
      const waitedLater = leaseClient.requests.filter(
        ({floorWaitMilliseconds}) => floorWaitMilliseconds > 0,
      );
      expect(waitedLater.length).to.equal(2);
    });

    it('go to the primary if a replica refuses them as writes', async () => {
      const {leaseClient, router} = createRouter(({member}) => [
        finished(member === 'a' ? DONE : READ_ONLY_ERROR),
      ]);
      const outcome = await router.route(routeRequest('read'));
      expect(outcome).to.include({kind: 'routed', servedBy: 'primary'});
      const last = leaseClient.requests[leaseClient.requests.length - 1];
      expect(last).to.include({member: 'a', purpose: 'write'});
    });

    it('are repeated at most twice if their answers are lost', async () => {
      const {leaseClient, router} = createRouter(() => [LOST]);
      const outcome = await router.route(routeRequest('read'));
      expect(outcome).to.include({kind: 'notRouted'});
      expect(leaseClient.requests.length).to.equal(3);
    });

    it('are tried on the next member if one is unreachable', async () => {
      const {leaseClient, router} = createRouter(
        ({member, floorWaitMilliseconds}) => {
          if (member !== 'b') return [LOST];
          return [floorWaitMilliseconds > 0 ? finished(DONE) : BEHIND];
        },
      );
      const outcome = await router.route(routeRequest('read'));
      expect(outcome).to.include({kind: 'routed', servedBy: 'replica'});
      expect(leaseClient.requests.map(({member}) => member)).to.deep.equal([
        'b',
        'c',
        'b',
      ]);
    });

    it('are not repeated once a part of the answer was delivered', async () => {
      const part: LeaseOwnerMessage = {
        kind: 'answer',
        bytes: DONE,
        confirmed: true,
      };
      const delivered: Buffer[] = [];
      const {leaseClient, router} = createRouter(() => [part, LOST]);
      const outcome = await router.route(
        routeRequest('read', {
          sink: async bytes => {
            delivered.push(bytes);
          },
        }),
      );
      expect(outcome).to.have.nested.property('failure.kind', 'cutShort');
      expect(delivered.length).to.equal(1);
      expect(leaseClient.requests.length).to.equal(1);
    });
  });

  describe('writes', () => {
    it('are not repeated if the answer is lost', async () => {
      const {leaseClient, router} = createRouter(() => [LOST]);
      const outcome = await router.route(routeRequest('write'));
      expect(outcome).to.have.nested.property('failure.kind', 'unknown');
      expect(leaseClient.requests.length).to.equal(1);
    });

    it('have an unknown outcome if no majority confirms them', async () => {
      const {router} = createRouter(() => [finished(DONE, {confirmed: false})]);
      const outcome = await router.route(routeRequest('write'));
      expect(outcome).to.have.nested.property('failure.kind', 'unknown');
    });

    it('are refused at once with a hint on overload', async () => {
      const {leaseClient, router} = createRouter(() => [OVERLOADED]);
      const outcome = await router.route(routeRequest('write'));
      expect(outcome).to.deep.include({
        kind: 'notRouted',
        failure: {
          kind: 'notRun',
          reason: 'too many requests are waiting',
          retryAfterMilliseconds: 70,
        },
      });
      expect(leaseClient.requests.length).to.equal(1);
    });

    it('wait only for the remaining time in later attempts', async () => {
      const wrongTerm: LeaseOwnerMessage = {
        kind: 'refused',
        refusal: {kind: 'wrongTerm'},
      };
      const {leaseClient, router} = createRouter(() => [wrongTerm]);
      const start = timer.now();
      const outcome = await router.route(routeRequest('write'));
      expect(outcome).to.have.nested.property('failure.kind', 'notRun');
      expect(timer.now() - start).to.be.lessThan(2_000);
      const waits = leaseClient.requests.map(
        ({queueMilliseconds}) => queueMilliseconds,
      );
      expect(waits).to.deep.equal([...waits].sort((a, b) => b - a));
      expect(waits[waits.length - 1]).to.be.lessThan(waits[0] as number);
    });
  });
});
