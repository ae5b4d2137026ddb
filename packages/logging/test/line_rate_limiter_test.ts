import {expect} from 'chai';
import {LineRateLimiter, Logger, LogOutput} from '../src/index.js';

/** Records the lines that are written to it. */
class RecordingOutput extends LogOutput {
  readonly lines: string[] = [];

  override writeLine(text: string): void {
    this.lines.push(text);
  }

  override flush(): void {
    this.lines.push('flushed');
  }
}

describe('LineRateLimiter', () => {
  it('limits the lines of one kind and counts the suppressed ones', () => {
    let now = 0;
    const limiter = LineRateLimiter.create(() => now);
    let admitted = 0;
    for (let count = 0; count < 1_000; count++) {
      if (limiter.admit('busy') !== undefined) admitted += 1;
    }
    expect(admitted).to.be.below(200);
    now = 1_000;
    expect(limiter.admit('busy')).to.equal(1_000 - admitted);
    expect(limiter.admit('busy')).to.equal(0);
  });

  it('limits each kind of line independently', () => {
    const limiter = LineRateLimiter.create(() => 0);
    for (let count = 0; count < 1_000; count++) limiter.admit('busy');
    expect(limiter.admit('rare')).to.equal(0);
  });
});

describe('Logger', () => {
  it('writes one JSON object per line, with the fields of the parent', () => {
    const output = new RecordingOutput();
    const logger = Logger.create('json', 3, output).withFields({vm: 'a'});
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

  it('suppresses repeated lines with the same message', () => {
    const output = new RecordingOutput();
    const logger = Logger.create('json', 3, output);
    for (let count = 0; count < 500; count++) logger.warn('again');
    expect(output.lines.length).to.be.below(200);
  });
});
