import {expect} from 'chai';
import {LineLimit, Logger, LogOutput} from '../src/index.js';

/** Keeps the lines that it is given. */
class KeptLines extends LogOutput {
  readonly lines: string[] = [];

  override line(text: string): void {
    this.lines.push(text);
  }

  override flush(): void {
    this.lines.push('flushed');
  }
}

describe('LineLimit', () => {
  it('bounds the lines of one kind, and counts those left out', () => {
    let now = 0;
    const limit = LineLimit.create(() => now);
    let admitted = 0;
    for (let count = 0; count < 1_000; count++) {
      if (limit.admit('busy') !== undefined) admitted += 1;
    }
    expect(admitted).to.be.below(200);
    now = 1_000;
    expect(limit.admit('busy')).to.equal(1_000 - admitted);
    expect(limit.admit('busy')).to.equal(0);
  });

  it('does not let one kind take the room of another', () => {
    const limit = LineLimit.create(() => 0);
    for (let count = 0; count < 1_000; count++) limit.admit('busy');
    expect(limit.admit('rare')).to.equal(0);
  });
});

describe('Logger', () => {
  it('writes one JSON object a line, with the fields of its parents', () => {
    const output = new KeptLines();
    const logger = Logger.create('json', 3, output).with({vm: 'a'});
    logger.info('it happened', {request: 'q1'});
    logger.debug('left out', {});
    expect(output.lines).to.have.length(1);
    expect(JSON.parse(output.lines[0] ?? '')).to.deep.include({
      message: 'it happened',
      level: 'info',
      vm: 'a',
      request: 'q1',
    });
  });

  it('says how many lines were left out', () => {
    const output = new KeptLines();
    const logger = Logger.create('json', 3, output);
    for (let count = 0; count < 500; count++) logger.warn('again');
    expect(output.lines.length).to.be.below(200);
  });
});
