import {expect} from 'chai';
import fc from 'fast-check';
import {MemberCommand} from '@apricotlock/statement';
import {ConnectionContext, preparedName, WorkText} from '../src/index.js';

const SEED = 41_107;
const PLAIN: WorkText = {kind: 'plain', text: 'a statement'};

/** What a member has on a connection after commands. */
class FakeConnection {
  values = new Map<string, string>();
  prepared = new Map<string, string>();

  take(commands: readonly MemberCommand[]): void {
    for (const command of commands) {
      if (command.kind === 'reset') {
        this.values.clear();
        this.prepared.clear();
      } else if (command.kind === 'setValue') {
        this.values.set(command.name, command.value);
      } else if (command.kind === 'prepare') {
        const {name, access, shape} = command;
        expect(this.prepared.has(name), 'prepared twice').to.equal(false);
        this.prepared.set(name, `${access} ${shape}`);
      }
    }
  }
}

const sessionValues = fc.dictionary(
  fc.constantFrom('zone', 'locale', 'limit'),
  fc.constantFrom('1', '2'),
);
const text = fc.oneof(
  fc.constant(PLAIN),
  fc.record({
    kind: fc.constant('prepared' as const),
    access: fc.constantFrom('read' as const, 'write' as const),
    shape: fc.constantFrom('q1', 'q2', 'a shape with blanks'),
    parameters: fc.constant('x'),
  }),
);

describe('ConnectionContext', () => {
  it('gives every session its own values and statements', () => {
    fc.assert(
      fc.property(fc.array(fc.tuple(sessionValues, text)), turns => {
        const connection = new FakeConnection();
        let context = ConnectionContext.EMPTY;
        for (const [values, wanted] of turns) {
          const change = context.prepareFor(
            new Map(Object.entries(values)),
            wanted,
          );
          connection.take(change.commands);
          context = change.after;
          expect(Object.fromEntries(connection.values)).to.deep.equal(values);
          if (wanted.kind !== 'prepared') continue;
          const {access, shape} = wanted;
          expect(connection.prepared.get(preparedName(access, shape))).to.equal(
            `${access} ${shape}`,
          );
        }
      }),
      {seed: SEED},
    );
  });

  it('sends nothing where nothing differs', () => {
    const values = new Map([['zone', '1']]);
    const {after} = ConnectionContext.EMPTY.prepareFor(values, PLAIN);
    expect(after.prepareFor(values, PLAIN).commands).to.deep.equal([]);
  });

  it('names statements by what they do, with no blank in the name', () => {
    expect(preparedName('read', 'q')).not.to.equal(preparedName('write', 'q'));
    expect(preparedName('read', 'two words')).to.match(/^\S+$/);
  });
});
