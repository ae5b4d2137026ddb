import {expect} from 'chai';
import {EventEmitter} from 'node:events';
import {setImmediate} from 'node:timers/promises';
import {Logger} from '@apricotlock/logging';
import {ManualTimerService} from '@apricotlock/timer';
import {ProgramSignal, RunningProgram, SignalSupervisor} from '../src/index.js';
import {FixedSettingsSource, SETTINGS} from './support/fixed_settings.js';

/** A program whose start and stop end when a test says so. */
class FakeProgram implements RunningProgram {
  readonly events: string[] = [];
  completeStart: () => void = () => undefined;
  completeStop: () => void = () => undefined;

  async start(): Promise<RunningProgram> {
    this.events.push('start');
    await new Promise<void>(resolve => (this.completeStart = resolve));
    return this;
  }

  applySettings(): void {
    this.events.push('applySettings');
  }

  async stop(): Promise<void> {
    this.events.push('stop');
    await new Promise<void>(resolve => (this.completeStop = resolve));
  }
}

describe('SignalSupervisor', () => {
  function startProgram() {
    const timer = ManualTimerService.create();
    const signals = new EventEmitter();
    const program = new FakeProgram();
    const source = new FixedSettingsSource();
    const supervisor = SignalSupervisor.install({
      signals,
      source,
      settings: SETTINGS,
      timer,
      logger: Logger.silent(),
    });
    const {events} = program;
    const run = supervisor
      .run(() => program.start())
      .then(() => events.push('end'));
    const signal = async (name: ProgramSignal) => {
      signals.emit(name);
      await setImmediate();
    };
    const complete = async (what: 'completeStart' | 'completeStop') => {
      program[what]();
      await setImmediate();
    };
    return {timer, events, run, signal, complete};
  }

  describe('during the start', () => {
    // Guards against callers that are cut since the program already listens.
    it('stops the program once the start has completed', async () => {
      const {events, run, signal, complete} = startProgram();
      await signal('SIGTERM');
      expect(events).to.deep.equal(['start']);
      await complete('completeStart');
      expect(events).to.deep.equal(['start', 'stop']);
      await complete('completeStop');
      await run;
      expect(events).to.deep.equal(['start', 'stop', 'end']);
    });

    // Guards against a process that no signal ends, as its disk is refused.
    it('ends if the start does not complete in time', async () => {
      const {timer, events, run, signal} = startProgram();
      await signal('SIGTERM');
      await timer.advanceAsync(SETTINGS.graceMilliseconds);
      await run;
      expect(events).to.deep.equal(['start', 'end']);
    });

    // Guards against SIGHUP ending a process, and against a reload that is lost.
    it('reloads the settings once the start has completed', async () => {
      const {events, signal, complete} = startProgram();
      await signal('SIGHUP');
      expect(events).to.deep.equal(['start']);
      await complete('completeStart');
      expect(events).to.deep.equal(['start', 'applySettings']);
    });

    // Guards against settings that are applied to a program that stops.
    it('only stops the program after both signals', async () => {
      const {events, signal, complete} = startProgram();
      await signal('SIGHUP');
      await signal('SIGTERM');
      await complete('completeStart');
      expect(events).to.deep.equal(['start', 'stop']);
    });
  });

  describe('while the program stops', () => {
    // Guards against a stop that a repeated signal repeats or shortens.
    it('ignores further signals to stop', async () => {
      const {events, signal, complete} = startProgram();
      await complete('completeStart');
      await signal('SIGTERM');
      await signal('SIGTERM');
      await signal('SIGINT');
      expect(events).to.deep.equal(['start', 'stop']);
      await complete('completeStop');
      expect(events).to.deep.equal(['start', 'stop', 'end']);
    });

    // Guards against settings that are applied to a program that stops.
    it('does not reload the settings', async () => {
      const {events, signal, complete} = startProgram();
      await complete('completeStart');
      await signal('SIGTERM');
      await signal('SIGHUP');
      expect(events).to.deep.equal(['start', 'stop']);
    });
  });
});
