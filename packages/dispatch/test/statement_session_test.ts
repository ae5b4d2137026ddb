import {expect} from 'chai';
import {Right} from 'purify-ts';
import {Deferred, Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {
  CallerAnswer,
  CallerFailure,
  CallerConnection,
  CallerRequest,
  SessionStart,
} from '@apricotlock/statement';
import {ManualTimerService} from '@apricotlock/timer';
import {CatalogueEntry, EMPTY_VIEW} from '@apricotlock/topology';
import {
  Authenticator,
  SessionObserver,
  StatementRouter,
  StatementSession,
} from '../src/index.js';

/** A connection on which the caller sends nothing. */
class SilentConnection extends CallerConnection {
  private readonly closing = Deferred.create<void>();
  override readonly ended = this.closing.promise;
  override readonly hasUnsentAnswer = false;
  closed = false;

  override get hasPendingRequest(): boolean {
    return false;
  }

  override async start(): Promise<SessionStart | undefined> {
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

  override async readArrived(): Promise<void> {
    return undefined;
  }

  override close(): void {
    this.closed = true;
    this.closing.resolve();
  }
}

/** A connection with a request that has arrived but was not read yet. */
class SlowlyReadConnection extends SilentConnection {
  readonly answers: CallerAnswer[] = [];
  private readonly arrived = Deferred.create<CallerRequest | undefined>();
  private received = false;
  private pending = false;

  override get hasPendingRequest(): boolean {
    return this.pending;
  }

  override async start(): Promise<SessionStart | undefined> {
    return {database: 'writes', credential: undefined};
  }

  override accept(): void {
    return undefined;
  }

  override async receive(): Promise<CallerRequest | undefined> {
    if (this.received) return this.ended.then(() => undefined);
    this.received = true;
    const request = await this.arrived.promise;
    this.pending = false;
    return request;
  }

  override async readArrived(): Promise<void> {
    this.pending = !this.received;
    this.arrived.resolve({
      id: 'q1',
      statement: Right({kind: 'setValue', name: 'zone', value: 'akl'}),
    });
    await new Promise(resolve => setImmediate(resolve));
  }

  override answer(answer: CallerAnswer): void {
    this.answers.push(answer);
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

  override onQuotaRefusal(): void {
    this.count += 1;
  }
}

describe('StatementSession', () => {
  it('answers a request that has arrived before it drains', async () => {
    const timer = ManualTimerService.create();
    const link = new SlowlyReadConnection();
    const entry = {name: 'writes', database: 'ledger'} as CatalogueEntry;
    const view = Observable.of({
      ...EMPTY_VIEW,
      catalogue: {version: 1, entries: [entry]},
    });
    const session = StatementSession.create({
      link,
      view,
      authenticator: Authenticator.create({view, timer}),
      router: undefined as unknown as StatementRouter,
      timer,
      logger: Logger.silent(),
      observer: new CountingObserver(),
    });
    const running = session.run();
    await timer.advanceAsync(10);
    await session.drain();
    await running;
    expect(link.answers).to.have.length(1);
    expect(link.closed).to.equal(true);
  });

  it('closes a connection whose caller sends nothing', async () => {
    const timer = ManualTimerService.create();
    const link = new SilentConnection();
    const view = Observable.of(EMPTY_VIEW);
    const session = StatementSession.create({
      link,
      view,
      authenticator: Authenticator.create({view, timer}),
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
