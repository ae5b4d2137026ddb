import {expect} from 'chai';
import {AsyncQueue} from '../src/index.js';

describe('AsyncQueue', () => {
  it('returns items in the order in which they were pushed', async () => {
    const queue = AsyncQueue.create<number>();
    for (let item = 0; item < 100; item++) queue.push(item);
    for (let item = 0; item < 100; item++) {
      expect(await queue.take()).to.equal(item);
    }
    expect(queue.length).to.equal(0);
  });

  describe('close', () => {
    it('lets the consumer take the remaining items, then ends', async () => {
      const queue = AsyncQueue.create<number>();
      queue.push(1);
      queue.close();
      expect(queue.push(2)).to.equal(false);
      expect(await queue.take()).to.equal(1);
      expect(await queue.take()).to.equal(undefined);
    });

    it('wakes a waiting consumer', async () => {
      const queue = AsyncQueue.create<number>();
      const taken = queue.take();
      queue.close();
      expect(await taken).to.equal(undefined);
    });
  });
});
