import {expect} from 'chai';
import fc from 'fast-check';
import {MemberCommand} from '@apricotlock/statement';
import {ConnectionContext, preparedName, WorkText} from '../src/index.js';

const SEED = 41_107;
const PLAIN: WorkText = {kind: 'plain', text: 'a statement'};

/** The values and prepared statements of a connection at the member. */
class FakeConnection {
  values = new Map<string, string>();
  prepared = new Map<string, string>();

  apply(commands: readonly MemberCommand[]): void {
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
  it('provides each session with its own values and statements', () => {
    fc.assert(
      fc.property(fc.array(fc.tuple(sessionValues, text)), steps => {
        const connection = new FakeConnection();
        let context = ConnectionContext.EMPTY;
        for (const [values, statement] of steps) {
          const transition = context.prepareFor(
            new Map(Object.entries(values)),
            statement,
          );
          connection.apply(transition.commands);
          context = transition.nextContext;
          expect(Object.fromEntries(connection.values)).to.deep.equal(values);
          if (statement.kind !== 'prepared') continue;
          const {access, shape} = statement;
          expect(connection.prepared.get(preparedName(access, shape))).to.equal(
            `${access} ${shape}`,
          );
        }
      }),
      {seed: SEED},
    );
  });

  it('sends no commands if the context is already right', () => {
    const values = new Map([['zone', '1']]);
    const {nextContext} = ConnectionContext.EMPTY.prepareFor(values, PLAIN);
    expect(nextContext.prepareFor(values, PLAIN).commands).to.deep.equal([]);
  });

  it('names statements by access and shape, without blanks', () => {
    expect(preparedName('read', 'q')).not.to.equal(preparedName('write', 'q'));
    expect(preparedName('read', 'two words')).to.match(/^\S+$/);
  });
});
