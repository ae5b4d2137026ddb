import {expect} from 'chai';
import {Deferred, Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {
  CallerAnswer,
  CallerFailure,
  CallerLink,
  CallerRequest,
} from '@apricotlock/statement';
import {ManualTimerService} from '@apricotlock/timer';
import {EMPTY_VIEW} from '@apricotlock/topology';
import {
  SessionObserver,
  StatementRouter,
  StatementSession,
} from '../src/index.js';

/** A caller who connects and says nothing. */
class SilentLink extends CallerLink {
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
    throw new Error('nothing was asked for');
  }

  override reject(_failure: CallerFailure): void {
    throw new Error('nothing was asked for');
  }

  override answer(_answer: CallerAnswer): void {
    throw new Error('nothing was asked for');
  }

  override close(): void {
    this.closed = true;
    this.closing.resolve();
  }
}

class CountingObserver extends SessionObserver {
  count = 0;

  override answered(): void {
    this.count += 1;
  }

  override failed(): void {
    this.count += 1;
  }
}

describe('StatementSession', () => {
  it('closes a connection on which nothing is said', async () => {
    const timer = ManualTimerService.create();
    const link = new SilentLink();
    const session = StatementSession.create({
      link,
      view: Observable.of(EMPTY_VIEW),
      router: undefined as unknown as StatementRouter,
      timer,
      logger: Logger.silent(),
      observer: new CountingObserver(),
    });
    void session.run();
    await timer.advanceTasks(4_000);
    expect(link.closed).to.equal(false);
    await timer.advanceTasks(2_000);
    expect(link.closed).to.equal(true);
  });
});
