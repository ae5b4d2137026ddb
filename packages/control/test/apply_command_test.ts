import {expect} from 'chai';
import {
  applyCommand,
  ControlCommand,
  ControlState,
  EMPTY_CONTROL_STATE,
} from '../src/index.js';

function put(changeId: string, baseVersion: number): ControlCommand {
  const origin = {changeId, actor: 'operator', at: 0};
  return {kind: 'putCatalogue', origin, baseVersion, entries: []};
}

function applyAll(commands: readonly ControlCommand[]) {
  let state: ControlState = EMPTY_CONTROL_STATE;
  return commands.map((command, index) => {
    const applied = applyCommand(state, index + 1, command);
    state = applied.state;
    return applied;
  });
}

describe('applyCommand', () => {
  describe('putCatalogue', () => {
    it('accepts only the first of two edits of the same version', () => {
      const [first, second] = applyAll([put('a', 0), put('b', 0)]);
      expect(first?.answer).to.include({kind: 'accepted', version: 1});
      expect(second?.answer).to.deep.equal({kind: 'conflict', version: 1});
    });

    it('answers a resent change with its first answer', () => {
      const answers = applyAll([put('a', 0), put('b', 1), put('a', 0)]);
      expect(answers[2]?.answer).to.deep.equal(answers[0]?.answer);
      expect(answers[2]?.state.view.catalogue.version).to.equal(2);
    });

    it('audits both the accepted and the conflicting edit', () => {
      const [, last] = applyAll([put('a', 0), put('b', 0)]);
      expect(last?.state.audit.map(record => record.result)).to.deep.equal([
        'accepted',
        'conflict',
      ]);
    });
  });
});
