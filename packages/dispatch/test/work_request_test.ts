import {expect} from 'chai';
import {CatalogueEntry, Organisation} from '@apricotlock/topology';
import {RUN_WORK} from '@apricotlock/work';
import {RoutedStatement} from '../src/index.js';
import {Choice, toWorkRequest} from '../src/routed_statement.js';

const ACME: Organisation = {
  name: 'acme',
  keyDigests: ['x'.repeat(43)],
  priority: 3,
};
const CHOICE: Choice = {
  member: 'm',
  primaryTerm: 0,
  floor: undefined,
  repeatable: true,
  timeoutMilliseconds: 100,
  waitMilliseconds: 50,
};

function statementOf(organisation: Organisation | undefined): RoutedStatement {
  return {
    requestId: 'q1',
    text: {kind: 'plain', text: 'READ a'},
    opens: 'none',
    values: [],
    readOnly: true,
    entry: {database: 'ledger'} as CatalogueEntry,
    terms: {consistency: 'primary', statementMilliseconds: 100, priority: 0},
    receivedAt: 0,
    ownWrite: undefined,
    organisation,
  };
}

// The exception on what is missing would end the session of a caller.
describe('the check of messages about work', () => {
  const answer = {
    rows: [],
    end: {kind: 'complete', signature: 's'},
    state: 'idle',
    position: undefined,
  };
  const messages: ReadonlyArray<Readonly<Record<string, unknown>>> = [
    {kind: 'answer', answer, expectedWaitMilliseconds: 0},
    {
      kind: 'refused',
      refusal: {reason: 'overloaded', retryAfterMilliseconds: 9},
    },
    {kind: 'lost', mayHaveRun: true, timedOut: false, reason: 'ended'},
  ];

  it('accepts each kind', () => {
    for (const message of messages) {
      expect(RUN_WORK.serverMessageCheck(message)).to.equal(message);
    }
  });

  it('refuses a message that lacks something', () => {
    const lacking: unknown[] = messages.map(({kind}) => ({kind}));
    for (const changes of [{end: {kind: 'error'}}, {end: null}, {rows: 7}]) {
      lacking.push({...messages[0], answer: {...answer, ...changes}});
    }
    for (const message of [...lacking, {kind: 'other'}, null, 7]) {
      expect(RUN_WORK.serverMessageCheck(message)).to.equal(undefined);
    }
  });
});

describe('toWorkRequest', () => {
  // The VM that works on the member needs the name for its connections; digests
  // of keys are of no use to it.
  it('names the organisation and its priority, and no key', () => {
    const request = toWorkRequest(statementOf(ACME), CHOICE, 80);
    expect(request).to.include({organisation: 'acme', organisationPriority: 3});
    expect(JSON.stringify(request)).to.not.include(ACME.keyDigests[0]);
    expect(RUN_WORK.checkOpening(request).extract()).to.deep.equal(request);
  });

  it('is the same as before without an organisation', () => {
    const request = toWorkRequest(statementOf(undefined), CHOICE, 80);
    expect(request).to.not.have.any.keys(
      'organisation',
      'organisationPriority',
    );
    expect(RUN_WORK.checkOpening(request).isRight()).to.equal(true);
  });

  it('is refused with an organisation that is no name', () => {
    const request = toWorkRequest(statementOf(ACME), CHOICE, 80);
    for (const change of [{organisation: 7}, {organisationPriority: '3'}]) {
      const check = RUN_WORK.checkOpening({...request, ...change});
      expect(check.isLeft()).to.equal(true);
    }
  });

  // An exception while a statement is run would leave its slot and connection
  // in use, and a priority of -1 would make a statement cost nothing.
  it('is refused with what no statement can have', () => {
    const request = toWorkRequest(statementOf(ACME), CHOICE, 80);
    const {first} = request;
    for (const change of [
      {organisationPriority: -1},
      {priority: NaN},
      {waitMilliseconds: NaN},
      {first: {...first, values: {}}},
      {first: {...first, values: [7]}},
      {first: {...first, text: null}},
      {first: {...first, text: {kind: 'prepared'}}},
    ]) {
      const check = RUN_WORK.checkOpening({...request, ...change});
      expect(check.isLeft(), JSON.stringify(change)).to.equal(true);
    }
    const checkMessage = RUN_WORK.clientMessageCheck;
    expect(checkMessage({...first, values: 'a'})).to.equal(undefined);
    for (const message of [first, {kind: 'release'}]) {
      expect(checkMessage(message)).to.equal(message);
    }
  });
});
