import {expect} from 'chai';
import {
  CatalogueEntry,
  ClusterView,
  isStoredCatalogue,
} from '@apricotlock/topology';
import {
  applyCommand,
  applyDelta,
  ControlCommand,
  ControlState,
  deltaBetween,
  EMPTY_CONTROL_STATE,
} from '../src/index.js';
import {stateSchema, viewUpdateSchema} from '../src/control_schemas.js';
import {packUpdate, unpackUpdate} from '../src/packed_update.js';
import {catalogueEdit, ControlCluster} from './support/control_cluster.js';

const VM_NAMES = ['vm-1', 'vm-2', 'vm-3'];
const LIMITS = {connections: 1, slots: 1, queueLength: 1, queueMilliseconds: 1};

function entry(name: string): CatalogueEntry {
  const owner = 'team';
  return {
    name,
    owner,
    class: 'standard',
    database: 'ledger',
    members: 3,
    limits: LIMITS,
  };
}

function replace(version: number, ...names: string[]): ControlCommand {
  const document = `document ${version} of ${names.join(' ')}`;
  const entries = names.map(entry);
  return {kind: 'replaceCatalogue', version, entries, document, at: 1};
}

/** Applies commands to a state, by default to that before the first one. */
function applyAll(
  commands: readonly ControlCommand[],
  first: ControlState = EMPTY_CONTROL_STATE,
) {
  let state = first;
  return commands.map(command => {
    const applied = applyCommand(state, state.view.index + 1, command);
    state = applied.state;
    return applied;
  });
}

function namesIn({catalogue}: ClusterView): readonly string[] {
  return catalogue.entries.map(({name}) => name);
}

// Guards against an acknowledged first catalogue that is dropped: operators may
// begin with version 0, which must not also mean that there is none.
describe('a first catalogue with version 0', () => {
  for (const version of [0, -0]) {
    const text = Object.is(version, -0) ? '-0' : '0';
    it(`is stored with its document if it is sent as ${text}`, () => {
      const [stored] = applyAll([replace(version, 'a')]);
      expect(stored?.answer).to.include({kind: 'accepted', changed: true});
      expect(stored?.state.document).to.equal('document 0 of a');
      expect(namesIn(stored?.state.view as ClusterView)).to.deep.equal(['a']);
    });
  }

  it('is not changed by a repetition or by other content under its version', () => {
    const [, repeated, other] = applyAll([
      replace(0, 'a'),
      replace(0, 'a'),
      replace(0, 'b'),
    ]);
    expect(repeated?.answer).to.include({kind: 'accepted', changed: false});
    expect(other?.answer).to.include({kind: 'accepted', changed: false});
    expect(other?.state.document).to.equal('document 0 of a');
  });

  it('is replaced by a higher version', () => {
    const [, next] = applyAll([replace(0, 'a'), replace(3, 'b')]);
    expect(next?.answer).to.include({version: 3, changed: true});
    expect(next?.state.document).to.equal('document 3 of b');
  });

  it('is a version on which an edit can be based', () => {
    const [, edit] = applyAll([replace(0, 'a'), catalogueEdit('edit', 0)]);
    expect(edit?.answer).to.include({kind: 'accepted', version: 1});
    const [, outdated] = applyAll([replace(0, 'a'), catalogueEdit('edit', 1)]);
    expect(outdated?.answer).to.include({kind: 'conflict'});
  });

  for (const [what, names] of [
    ['with entries', ['a', 'b']],
    ['without entries', []],
  ] as const) {
    it(`is known as stored to a VM that receives a delta, ${what}`, () => {
      const [stored] = applyAll([replace(0, ...names)]);
      const later = stored?.state.view as ClusterView;
      const delta = deltaBetween(EMPTY_CONTROL_STATE.view, later);
      const sent = viewUpdateSchema.parse({kind: 'delta', delta});
      expect(sent).to.deep.equal({kind: 'delta', delta});
      const received = applyDelta(EMPTY_CONTROL_STATE.view, delta);
      expect(isStoredCatalogue(received.catalogue)).to.equal(true);
      expect(received).to.deep.equal(later);
    });

    it(`is known as stored to a VM that receives the full view, ${what}`, () => {
      const [stored] = applyAll([replace(0, ...names)]);
      const view = stored?.state.view as ClusterView;
      const received = unpackUpdate(packUpdate({kind: 'full', view}));
      expect(received).to.deep.equal({kind: 'full', view});
    });
  }

  it('is known as stored after a snapshot', () => {
    const [stored] = applyAll([replace(0)]);
    const restored = stateSchema.parse(structuredClone(stored?.state));
    expect(isStoredCatalogue(restored.view.catalogue)).to.equal(true);
  });
});

// Guards against a wrong reading of what earlier versions of the product wrote:
// there, the version alone told whether there was a catalogue.
describe('the state of an earlier version of the product', () => {
  function earlierState(version: number): ControlState {
    const view = {index: 9, catalogue: {version, entries: []}, groups: []};
    return stateSchema.parse({view, audit: [], answers: []});
  }

  it('has no catalogue if the version is 0, and takes one with version 0', () => {
    const state = earlierState(0);
    expect(isStoredCatalogue(state.view.catalogue)).to.equal(false);
    const [stored] = applyAll([replace(0, 'a')], state);
    expect(stored?.state.document).to.equal('document 0 of a');
  });

  it('has a catalogue if the version is above 0', () => {
    const state = earlierState(4);
    expect(isStoredCatalogue(state.view.catalogue)).to.equal(true);
    const [outdated] = applyAll([replace(0, 'a')], state);
    expect(outdated?.answer).to.include({changed: false, version: 4});
  });

  it('can be changed by a delta without the later field', () => {
    const delta = {
      fromIndex: 9,
      index: 10,
      catalogueVersion: 5,
      entries: [],
      removedEntries: [],
      groups: [],
    };
    const {catalogue} = applyDelta(earlierState(4).view, delta);
    expect(isStoredCatalogue(catalogue)).to.equal(true);
  });
});

describe('a log on three VMs', () => {
  let cluster: ControlCluster;

  afterEach(() => cluster.stop());

  // Guards against an acknowledged version 0 that only the memory of a process
  // holds.
  it('still has a catalogue of version 0 after all VMs were killed', async () => {
    cluster = await ControlCluster.start(VM_NAMES.length);
    const log = cluster.log(await cluster.waitForLeader());
    const answer = await log.propose(replace(0, 'a'));
    expect(answer.extract()).to.include({version: 0, changed: true});
    for (const name of VM_NAMES) cluster.kill(name);
    for (const name of VM_NAMES) await cluster.startVm(name);
    const leader = await cluster.waitForLeader();
    await cluster.waitUntil('the catalogue', () =>
      isStoredCatalogue(cluster.log(leader).state.current.view.catalogue),
    );
    const {document} = cluster.log(leader).state.current;
    expect(document).to.equal('document 0 of a');
  });
});
