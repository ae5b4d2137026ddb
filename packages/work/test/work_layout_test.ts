import {expect} from 'chai';
import {anything, assert, property} from 'fast-check';
import {
  RUN_WORK,
  WorkClientMessage,
  WorkRequest,
  WorkServerMessage,
  WorkStatement,
} from '../src/index.js';

const SEED = 20261204;

const STATEMENT: WorkStatement = {
  kind: 'run',
  requestId: 'q1',
  text: {kind: 'plain', text: 'READ a'},
  opens: 'none',
  floor: {term: 3, number: 1209},
  values: [['zone', 'north']],
  timeoutMilliseconds: 640,
  repeatable: true,
};
const REQUEST: WorkRequest = {
  database: 'ledger',
  member: 'm1',
  primaryTerm: 0,
  priority: 2,
  waitMilliseconds: 195,
  objectiveMilliseconds: 198,
  first: STATEMENT,
};

// A field that is lost or exchanged on the way would run another statement than
// the caller's, or give the caller another answer than the member's.
describe('the layout of messages about work', () => {
  it('restores requests', () => {
    const prepared: WorkStatement = {
      ...STATEMENT,
      text: {kind: 'prepared', access: 'write', shape: 's', parameters: '1 x'},
      opens: 'transaction',
      floor: undefined,
      values: [],
      repeatable: false,
    };
    const requests: readonly WorkRequest[] = [
      REQUEST,
      {...REQUEST, first: prepared},
      {...REQUEST, organisation: 'acme', organisationPriority: 3},
    ];
    for (const request of requests) {
      const read = RUN_WORK.readOpening(RUN_WORK.packOpening(request));
      expect(read.extract()).to.deep.equal(request);
    }
  });

  it('restores messages of the session', () => {
    const messages: readonly WorkClientMessage[] = [
      STATEMENT,
      {...STATEMENT, opens: 'readOnlyTransaction'},
      {kind: 'release'},
    ];
    const {pack, read} = RUN_WORK.clientMessageCodec;
    for (const message of messages) {
      expect(read(pack(message))).to.deep.equal(message);
    }
  });

  it('restores messages of the VM that works on the member', () => {
    const answer = {
      rows: ['a', 'b'],
      end: {kind: 'complete', signature: '7.1f'},
      state: 'idle',
      position: {term: 1, number: 2},
    } as const;
    const error = {kind: 'behind', code: 'E7', text: 'm1'} as const;
    const messages: readonly WorkServerMessage[] = [
      {kind: 'answer', answer, expectedWaitMilliseconds: 0},
      {
        kind: 'answer',
        answer: {
          rows: [],
          end: {kind: 'error', error},
          state: 'failed',
          position: undefined,
        },
        expectedWaitMilliseconds: 12,
      },
      {
        kind: 'refused',
        refusal: {reason: 'overloaded', retryAfterMilliseconds: 9},
      },
      {kind: 'lost', mayHaveRun: true, timedOut: false, reason: 'ended'},
    ];
    const {pack, read} = RUN_WORK.serverMessageCodec;
    for (const message of messages) {
      expect(read(pack(message))).to.deep.equal(message);
    }
  });

  // An exception would end the process that has received the value.
  it('refuses any other value without an exception', () => {
    const {clientMessageCodec, serverMessageCodec} = RUN_WORK;
    assert(
      property(anything(), packed => {
        expect(RUN_WORK.readOpening(packed).isLeft()).to.equal(true);
        if (packed === 0) return;
        expect(clientMessageCodec.read(packed)).to.equal(undefined);
        expect(serverMessageCodec.read(packed)).to.equal(undefined);
      }),
      {seed: SEED, numRuns: 2_000},
    );
  });

  it('is refused if a field is missing', () => {
    const packed = RUN_WORK.packOpening(REQUEST) as readonly unknown[];
    for (let length = 0; length < packed.length; length++) {
      const cut = RUN_WORK.readOpening(packed.slice(0, length));
      expect(cut.isLeft(), `${length} fields`).to.equal(true);
    }
  });
});
