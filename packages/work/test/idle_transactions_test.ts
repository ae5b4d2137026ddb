import {expect} from 'chai';
import {IdleTransactions} from '../src/idle_transactions.js';

describe('IdleTransactions', () => {
  function idleFor(...idleMilliseconds: readonly number[]) {
    const transactions = IdleTransactions.create<number>();
    for (const [index, milliseconds] of idleMilliseconds.entries()) {
      transactions.add(index, 1_000 - milliseconds);
    }
    return transactions;
  }

  it('ends the one that has been idle longest', () => {
    const choice = idleFor(700, 600).chooseEnding(3, 1_000);
    expect(choice).to.deep.equal({kind: 'end', transaction: 0});
  });

  it('ends none that has been idle for a short time', () => {
    const choice = idleFor(300, 200).chooseEnding(3, 1_000);
    expect(choice).to.deep.equal({kind: 'wait', until: 1_200});
  });

  it('ends none if they hold no more than half of the connections', () => {
    const choice = idleFor(700, 600).chooseEnding(4, 1_000);
    expect(choice).to.deep.equal({kind: 'wait', until: undefined});
  });

  it('ends none that continues or has ended', () => {
    const transactions = idleFor(700, 600);
    expect(transactions.remove(0)).to.equal(true);
    expect(transactions.remove(0)).to.equal(false);
    const choice = transactions.chooseEnding(1, 1_000);
    expect(choice).to.deep.equal({kind: 'end', transaction: 1});
  });
});
