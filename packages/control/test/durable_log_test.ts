import {expect} from 'chai';
import {Deferred} from '@apricotlock/flow';
import {ManualTimerService} from '@apricotlock/timer';
import {
  DurableLog,
  EMPTY_CONTROL_STATE,
  LogEntry,
  RandomSource,
  StorageError,
} from '../src/index.js';
import {MemoryFolder} from './support/memory_folder.js';

const SEEDS = [1, 2, 3, 4, 5];
const LOG_NAME = 'log-00000001';

function entry(index: number, term: number): LogEntry {
  return {index, term, body: {kind: 'termStart'}};
}

async function openLog(
  folder: MemoryFolder,
  onWriteFailed: () => void = () => undefined,
  timer = ManualTimerService.create(),
) {
  const slow = () => undefined;
  return DurableLog.open(folder, () => 'disk', {timer, onWriteFailed, slow});
}

async function reopenLog(folder: MemoryFolder): Promise<DurableLog> {
  return (await openLog(folder)).unsafeCoerce();
}

/** What was acknowledged to other VMs before the power loss. */
interface AcknowledgedState {
  readonly term: number;
  readonly vote: string | undefined;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/**
 * Votes, appends, overwrites and compacts until done or until the power loss.
 */
async function runSteps(folder: MemoryFolder): Promise<AcknowledgedState> {
  let acknowledged: AcknowledgedState = {
    term: 0,
    vote: undefined,
    lastIndex: 0,
    lastTerm: 0,
  };
  const crash = new Promise<'crashed'>(resolve => {
    const failed = () => resolve('crashed');
    void openLog(folder, failed).then(async opened => {
      if (opened.isLeft()) return failed();
      const log = opened.unsafeCoerce();
      for (const step of STEPS) {
        step(log);
        await log.flushed();
        const {term, vote} = log.vote;
        const {index, term: lastTerm} = log.last;
        acknowledged = {term, vote, lastIndex: index, lastTerm};
      }
      return failed();
    });
  });
  await crash;
  return acknowledged;
}

const STEPS: ReadonlyArray<(log: DurableLog) => void> = [
  log => log.saveVote({cluster: 'c', term: 1, vote: 'disk'}),
  log => log.append([entry(1, 1), entry(2, 1), entry(3, 1)]),
  log => log.saveVote({term: 2, vote: 'other'}),
  log => log.append([entry(3, 2)]),
  log => log.compact({index: 2, term: 1}, EMPTY_CONTROL_STATE),
  log => log.append([entry(4, 2), entry(5, 2)]),
  log => {
    log.append([entry(5, 2)]);
    log.compact({index: 5, term: 2}, EMPTY_CONTROL_STATE);
    log.saveVote({term: 3, vote: undefined});
    log.append([entry(6, 3)]);
  },
];

describe('DurableLog', () => {
  describe('after a power loss', () => {
    it('retains everything acknowledged, whichever write fails and however the tail is torn', async () => {
      const uninterrupted = MemoryFolder.create();
      await runSteps(uninterrupted);
      for (const seed of SEEDS) {
        for (let at = 1; at <= uninterrupted.operations; at++) {
          const folder = MemoryFolder.create();
          folder.crashAt = at;
          const acknowledged = await runSteps(folder);
          const survived = folder.afterCrash(RandomSource.of(seed * 1000 + at));
          const log = await reopenLog(survived);
          const context = `seed ${seed}, operation ${at}`;
          expect(log.vote.term, context).to.be.at.least(acknowledged.term);
          if (
            log.vote.term === acknowledged.term &&
            acknowledged.vote !== undefined
          ) {
            expect(log.vote.vote, context).to.equal(acknowledged.vote);
          }
          if (log.last.term === acknowledged.lastTerm) {
            expect(log.last.index, context).to.be.at.least(
              acknowledged.lastIndex,
            );
          } else {
            expect(log.last.term, context).to.be.above(acknowledged.lastTerm);
          }
        }
      }
    });

    it('accepts further entries', async () => {
      const folder = MemoryFolder.create();
      folder.crashAt = 9;
      await runSteps(folder);
      const survived = folder.afterCrash(RandomSource.of(7));
      const log = await reopenLog(survived);
      const nextIndex = log.last.index + 1;
      log.append([entry(nextIndex, 9)]);
      await log.flushed();
      expect((await reopenLog(survived)).last).to.include({
        index: nextIndex,
        term: 9,
      });
    });
  });

  describe('with a damaged file', () => {
    async function createWrittenFolder(): Promise<MemoryFolder> {
      const folder = MemoryFolder.create();
      const log = await reopenLog(folder);
      for (let index = 1; index <= 5; index++) {
        log.append([entry(index, 1)]);
        await log.flushed();
      }
      return folder;
    }

    it('truncates a torn last record', async () => {
      const folder = await createWrittenFolder();
      folder.damage(LOG_NAME, folder.sizeOf(LOG_NAME) - 1);
      expect((await reopenLog(folder)).last.index).to.equal(4);
    });

    it('reports the file as corrupt if an earlier record is damaged', async () => {
      const size = (await createWrittenFolder()).sizeOf(LOG_NAME);
      // Only the last record may be torn, so the damage is placed before it.
      for (let offset = 0; offset < (size * 4) / 5; offset++) {
        const folder = await createWrittenFolder();
        folder.damage(LOG_NAME, offset);
        const error = (await openLog(folder)).swap().unsafeCoerce();
        expect((error as StorageError).kind, `byte ${offset}`).to.equal(
          'corrupt',
        );
        expect(error.file).to.equal(`/memory/${LOG_NAME}`);
      }
    });
  });

  describe('on a disk that refuses writes for some time', () => {
    async function openOn(
      folder: MemoryFolder,
      timer: ManualTimerService,
      onWriteFailed: () => void = () => undefined,
    ): Promise<DurableLog> {
      return (await openLog(folder, onWriteFailed, timer)).unsafeCoerce();
    }

    /** Lets the log repeat its writes until it is idle. */
    async function flush(
      log: DurableLog,
      timer: ManualTimerService,
    ): Promise<void> {
      let flushed = false;
      void log.flushed().then(() => {
        flushed = true;
      });
      for (let round = 0; round < 200 && !flushed; round++) {
        await new Promise(resolve => setImmediate(resolve));
        timer.advance(100);
      }
      expect(flushed).to.equal(true);
    }

    it('retains every change, and acknowledges it only when it is synced', async () => {
      for (let refusedFrom = 1; refusedFrom <= 24; refusedFrom++) {
        for (const refusedCount of [1, 2, 5]) {
          const folder = MemoryFolder.create();
          const timer = ManualTimerService.create();
          const log = await openOn(folder, timer);
          folder.refuse(folder.operations + refusedFrom, refusedCount);
          for (const step of STEPS) {
            step(log);
            await flush(log, timer);
            const crashed = folder.afterCrash(RandomSource.of(refusedFrom));
            const reopened = await reopenLog(crashed);
            expect(reopened.vote).to.deep.equal(log.vote);
            expect(reopened.last).to.deep.equal(log.last);
            expect(reopened.snapshot.index).to.equal(log.snapshot.index);
          }
          expect(log.writable.current).to.equal(true);
        }
      }
    });

    it('reports the refusal once, and when writes are accepted again', async () => {
      const folder = MemoryFolder.create();
      const timer = ManualTimerService.create();
      let failures = 0;
      const countFailure = () => {
        failures += 1;
      };
      const log = await openOn(folder, timer, countFailure);
      const states: boolean[] = [];
      log.writable.subscribe(writable => states.push(writable));
      folder.refuse(folder.operations + 1, 5);
      log.append([entry(1, 1)]);
      expect(log.flushedIndex).to.equal(0);
      await flush(log, timer);
      expect(log.flushedIndex).to.equal(1);
      expect(failures).to.equal(1);
      expect(states).to.deep.equal([false, true]);
    });

    it('counts a write that takes too long as refused until it ends', async () => {
      const folder = MemoryFolder.create();
      const timer = ManualTimerService.create();
      const log = await openOn(folder, timer);
      const ended = Deferred.create<void>();
      folder.writeGate = ended.promise;
      log.compact({index: 0, term: 0}, EMPTY_CONTROL_STATE);
      await new Promise(resolve => setImmediate(resolve));
      timer.advance(900);
      expect(log.writable.current).to.equal(true);
      timer.advance(200);
      expect(log.writable.current).to.equal(false);
      ended.resolve();
      await log.flushed();
      expect(log.writable.current).to.equal(true);
    });

    it('can be closed meanwhile', async () => {
      const folder = MemoryFolder.create();
      const timer = ManualTimerService.create();
      const log = await openOn(folder, timer);
      folder.refuse(folder.operations + 1, Infinity);
      log.append([entry(1, 1)]);
      await log.close();
    });
  });

  describe('with many entries', () => {
    it('drops entries before a snapshot and retains the newest ones', async () => {
      const folder = MemoryFolder.create();
      const log = await reopenLog(folder);
      for (let index = 1; index <= 1_000; index++) {
        log.append([entry(index, 1)]);
      }
      log.compact({index: 900, term: 1}, EMPTY_CONTROL_STATE);
      await log.flushed();
      expect(await folder.list()).to.deep.equal(['log-00000002']);
      const reopened = await reopenLog(folder);
      expect(reopened.snapshot.index).to.equal(900);
      expect(reopened.last.index).to.equal(1_000);
      expect(reopened.entriesFrom(700, 1)).to.equal(undefined);
      expect(reopened.entriesFrom(701, 1)?.[0]?.index).to.equal(701);
    });
  });

  describe('with large entries', () => {
    const DOCUMENT_BYTES = 100 << 10;
    const MAXIMUM_FILE_BYTES = 3 << 20;

    function large(index: number): LogEntry {
      const command = {
        kind: 'replaceCatalogue',
        version: index,
        entries: [],
        document: 'x'.repeat(DOCUMENT_BYTES),
        at: 0,
      } as const;
      return {index, term: 1, body: {kind: 'command', command}};
    }

    it('needs compaction after far fewer entries than otherwise', async () => {
      const folder = MemoryFolder.create();
      const log = await reopenLog(folder);
      let snapshots = 0;
      for (let index = 1; index <= 200; index++) {
        log.append([large(index)]);
        await log.flushed();
        if (!log.needsCompaction) continue;
        snapshots += 1;
        log.compact({index, term: 1}, EMPTY_CONTROL_STATE);
        await log.flushed();
      }
      expect(snapshots).to.be.within(5, 25);
      const [name] = await folder.list();
      expect(folder.sizeOf(name as string)).to.be.below(MAXIMUM_FILE_BYTES);
      const reopened = await reopenLog(folder);
      expect(reopened.last.index).to.equal(200);
      expect(reopened.needsCompaction).to.equal(false);
    });

    it('takes their size into account after a reopen', async () => {
      const folder = MemoryFolder.create();
      const log = await reopenLog(folder);
      for (let index = 1; index <= 15; index++) log.append([large(index)]);
      await log.flushed();
      expect((await reopenLog(folder)).needsCompaction).to.equal(true);
    });
  });
});
