import {expect} from 'chai';
import fc from 'fast-check';
import {ClusterView} from '@apricotlock/topology';
import {
  applyCommand,
  applyDelta,
  ControlCommand,
  ControlState,
  deltaBetween,
  EMPTY_CONTROL_STATE,
} from '../src/index.js';

const SEED = 20_261_203;
const NAMES = ['a', 'b', 'c', 'd'];
const LIMITS = {slots: 1, queueLength: 1, queueMilliseconds: 1};

/**
 * Returns a command that puts a catalogue in which each name has the given
 * number of connections; names with `undefined` are absent.
 */
function commandFor(
  connections: ReadonlyArray<number | undefined>,
  baseVersion: number,
): ControlCommand {
  const entries = connections.flatMap((count, index) =>
    count === undefined
      ? []
      : [
          {
            name: NAMES[index] as string,
            owner: 'team',
            class: 'standard' as const,
            database: `db-${index}`,
            members: 3,
            limits: {...LIMITS, connections: count},
          },
        ],
  );
  const origin = {changeId: `change-${baseVersion}`, actor: 'x', at: 0};
  return {kind: 'putCatalogue', origin, baseVersion, entries};
}

describe('deltaBetween', () => {
  it('transforms any earlier view into the later one', () => {
    const catalogue = fc.tuple(
      ...NAMES.map(() =>
        fc.option(fc.integer({min: 1, max: 3}), {nil: undefined}),
      ),
    );
    fc.assert(
      fc.property(fc.array(catalogue, {minLength: 1, maxLength: 6}), puts => {
        let state: ControlState = EMPTY_CONTROL_STATE;
        const views: ClusterView[] = [state.view];
        puts.forEach((put, version) => {
          const command = commandFor(put, version);
          state = applyCommand(state, version + 1, command).state;
          views.push(state.view);
        });
        const last = views.at(-1) as ClusterView;
        for (const view of views) {
          const updated = applyDelta(view, deltaBetween(view, last));
          expect(updated).to.deep.equal(last);
        }
      }),
      {seed: SEED},
    );
  });

  it('contains only the changed entry', () => {
    const first = commandFor([1, 1, 1, 1], 0);
    const second = commandFor([1, 2, 1, 1], 1);
    const before = applyCommand(EMPTY_CONTROL_STATE, 1, first).state;
    const after = applyCommand(before, 2, second).state;
    const delta = deltaBetween(before.view, after.view);
    expect(delta.entries.map(({name}) => name)).to.deep.equal(['b']);
    expect(delta.groups).to.deep.equal([]);
  });
});
