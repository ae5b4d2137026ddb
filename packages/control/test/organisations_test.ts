import {expect} from 'chai';
import {digestOfKey, Organisation} from '@apricotlock/topology';
import {
  applyCommand,
  applyDelta,
  ControlCommand,
  ControlState,
  deltaBetween,
  EMPTY_CONTROL_STATE,
} from '../src/index.js';
import {PROPOSE} from '../src/control_messages.js';
import {
  logEntrySchema,
  stateSchema,
  viewUpdateSchema,
} from '../src/control_schemas.js';

function organisation(name: string, ...keys: string[]): Organisation {
  return {name, keyDigests: keys.map(digestOfKey), priority: 0};
}

const ACME = organisation('acme', 'key-a', 'key-b');
const ZETA = organisation('zeta', 'key-z');

function replace(
  version: number,
  organisations?: readonly Organisation[],
): ControlCommand {
  const base = {version, entries: [], document: '{}', at: 0};
  return {kind: 'replaceCatalogue', ...base, organisations};
}

function put(
  baseVersion: number,
  organisations?: readonly Organisation[],
): ControlCommand {
  const origin = {changeId: `put-${baseVersion}`, actor: 'x', at: 0};
  return {
    kind: 'putCatalogue',
    origin,
    baseVersion,
    entries: [],
    organisations,
  };
}

function applyAll(...commands: readonly ControlCommand[]): ControlState[] {
  let state = EMPTY_CONTROL_STATE;
  return commands.map((command, index) => {
    ({state} = applyCommand(state, index + 1, command));
    return state;
  });
}

function organisationsAfter(...commands: readonly ControlCommand[]) {
  return applyAll(...commands).at(-1)?.view.catalogue.organisations;
}

describe('organisations in the catalogue', () => {
  it('are replaced with the catalogue, and removed by one without them', () => {
    expect(organisationsAfter(replace(1, [ZETA, ACME]))).to.deep.equal([
      ACME,
      ZETA,
    ]);
    expect(organisationsAfter(replace(1, [ACME]), replace(2))).to.equal(
      undefined,
    );
  });

  // An earlier apricotctl sends no organisations. Its edit of an entry must not
  // remove them, as callers would no longer be identified.
  it('remain as they are after an edit that has none', () => {
    expect(organisationsAfter(put(0, [ACME]), put(1))).to.deep.equal([ACME]);
    expect(organisationsAfter(put(0, [ACME]), put(1, []))).to.equal(undefined);
  });

  it('are named in the audit trail without their digests', () => {
    const shrunk = organisation('acme', 'key-a');
    const states = applyAll(replace(1, [ACME, ZETA]), replace(2, [shrunk]));
    const {audit} = states.at(-1) as ControlState;
    expect(audit.map(({subject}) => subject)).to.deep.equal([
      'organisations +acme +zeta',
      'organisations ~acme -zeta',
    ]);
  });

  it('are validated in commands', () => {
    const malformed = {...replace(1), organisations: [{name: 'a b'}]};
    expect(PROPOSE.checkRequest(malformed).isLeft()).to.equal(true);
    const command = replace(1, [ACME]);
    expect(PROPOSE.checkRequest(command).extract()).to.deep.equal(command);
  });

  it('may be absent in a log or snapshot of an earlier version', () => {
    const {organisations: _, ...command} = replace(1) as Extract<
      ControlCommand,
      {kind: 'replaceCatalogue'}
    >;
    const entry = {index: 1, term: 1, body: {kind: 'command', command}};
    expect(logEntrySchema.parse(entry)).to.deep.equal(entry);
    const state = {...EMPTY_CONTROL_STATE};
    expect(stateSchema.parse(state).view.catalogue).to.deep.equal({
      version: 0,
      entries: [],
    });
  });

  describe('in a view delta', () => {
    it('are sent only if they changed', () => {
      const changed = organisation('zeta', 'key-new');
      const [before, after] = applyAll(
        replace(1, [ACME, ZETA]),
        replace(2, [structuredClone(ACME), changed]),
      ) as [ControlState, ControlState];
      const delta = deltaBetween(before.view, after.view);
      expect(delta.organisations).to.deep.equal([changed]);
      expect(applyDelta(before.view, delta)).to.deep.equal(after.view);
    });

    it('are removed by their names', () => {
      const [before, after] = applyAll(
        replace(1, [ACME, ZETA]),
        replace(2, [ZETA]),
      ) as [ControlState, ControlState];
      const delta = deltaBetween(before.view, after.view);
      expect(delta.removedOrganisations).to.deep.equal(['acme']);
      expect(applyDelta(before.view, delta)).to.deep.equal(after.view);
    });

    it('pass the schema of view updates', () => {
      const [before, after] = applyAll(
        replace(1, [ZETA]),
        replace(2, [ACME]),
      ) as [ControlState, ControlState];
      const delta = deltaBetween(before.view, after.view);
      const update = {kind: 'delta', delta};
      expect(viewUpdateSchema.parse(update)).to.deep.equal(update);
      const full = {kind: 'full', view: after.view};
      expect(viewUpdateSchema.parse(full)).to.deep.equal(full);
    });

    it('remain as they are after a delta of an earlier version', () => {
      const [{view}] = applyAll(replace(1, [ACME])) as [ControlState];
      const delta = viewUpdateSchema.parse({
        kind: 'delta',
        delta: {
          fromIndex: 1,
          index: 2,
          catalogueVersion: 1,
          entries: [],
          removedEntries: [],
          groups: [],
        },
      });
      if (delta.kind !== 'delta') throw new Error('expected a delta');
      const {catalogue} = applyDelta(view, delta.delta);
      expect(catalogue.organisations).to.deep.equal([ACME]);
    });
  });
});
