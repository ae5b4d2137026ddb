import {expect} from 'chai';
import {Deferred, Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {
  CallerAnswer,
  CallerFailure,
  CallerConnection,
  CallerRequest,
} from '@apricotlock/statement';
import {ManualTimerService} from '@apricotlock/timer';
import {EMPTY_VIEW} from '@apricotlock/topology';
import {
  SessionObserver,
  StatementRouter,
  StatementSession,
} from '../src/index.js';

/** A connection on which the caller sends nothing. */
class SilentConnection extends CallerConnection {
  private readonly closing = Deferred.create<void>();
  override readonly ended = this.closing.promise;
  closed = false;

  override async start(): Promise<string | undefined> {
    await this.ended;
    return undefined;
  }

  override async receive(): Promise<CallerRequest | undefined> {
    return undefined;
  }

  override accept(): void {
    throw new Error('unexpected accept: the caller sent nothing');
  }

  override reject(_failure: CallerFailure): void {
    throw new Error('unexpected reject: the caller sent nothing');
  }

  override answer(_answer: CallerAnswer): void {
    throw new Error('unexpected answer: the caller sent nothing');
  }

  override close(): void {
    this.closed = true;
    this.closing.resolve();
  }
}

class CountingObserver extends SessionObserver {
  count = 0;

  override onAnswer(): void {
    this.count += 1;
  }

  override onFailure(): void {
    this.count += 1;
  }
}

describe('StatementSession', () => {
  it('closes a connection whose caller sends nothing', async () => {
    const timer = ManualTimerService.create();
    const link = new SilentConnection();
    const session = StatementSession.create({
      link,
      view: Observable.of(EMPTY_VIEW),
      router: undefined as unknown as StatementRouter,
      timer,
      logger: Logger.silent(),
      observer: new CountingObserver(),
    });
    void session.run();
    await timer.advanceAsync(4_000);
    expect(link.closed).to.equal(false);
    await timer.advanceAsync(2_000);
    expect(link.closed).to.equal(true);
  });
});
