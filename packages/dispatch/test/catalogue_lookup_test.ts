import {expect} from 'chai';
import {Observable} from '@apricotlock/flow';
import {ManualTimerService} from '@apricotlock/timer';
import {
  Catalogue,
  ClusterView,
  EMPTY_CATALOGUE,
  EMPTY_VIEW,
} from '@apricotlock/topology';
import {CatalogueLookup} from '../src/catalogue_lookup.js';

const FIRST: Catalogue = {version: 0, entries: [], stored: true};

describe('CatalogueLookup', () => {
  let view: Observable<ClusterView>;
  let lookup: CatalogueLookup;

  beforeEach(() => {
    view = Observable.of(EMPTY_VIEW);
    lookup = CatalogueLookup.of(view, ManualTimerService.create());
  });

  function receive(catalogue: Catalogue): void {
    view.set({...EMPTY_VIEW, index: view.current.index + 1, catalogue});
  }

  // Guards against callers that wait for a catalogue, and are told that there is
  // none, while one with version 0 is in force.
  it('knows a stored catalogue with version 0', async () => {
    const known = lookup.waitForCatalogue();
    receive(FIRST);
    await known;
    expect(lookup.lacksDatabase('ledger')).to.equal(true);
    const failure = lookup.missingEntryFailure('ledger');
    expect(failure.kind).to.equal('unknownDatabase');
  });

  // Guards against "unknown database" for callers of a VM that knows none yet.
  it('knows no catalogue while a view has none', () => {
    receive(EMPTY_CATALOGUE);
    expect(lookup.lacksDatabase('ledger')).to.equal(false);
    expect(lookup.missingEntryFailure('ledger').kind).to.equal('notRun');
  });
});
